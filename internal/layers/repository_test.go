package layers

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// skippedDirectories lists top directories whose files pages do not name.
var skippedDirectories = []string{".git", "bin", "found", "journal"}

// repository is what pages may name: the paths of the repository and the names in its Go files.
type repository struct {
	paths    []string                   // files and directories, relative to the root
	tests    map[string]bool            // tests, benchmarks and fuzz tests
	names    map[string]bool            // declared names: functions, methods, types, fields, constants, variables
	members  map[string]map[string]bool // declarations by package; fields and methods by Type and package.Type
	embedded map[string][]string        // types that a type embeds, by Type and package.Type
	words    map[string]bool            // string literals, and the words and dotted words in them
	keys     map[string]bool            // keys of struct tags: names in the configuration, the operator's file and the plan
}

var (
	stringWord = regexp.MustCompile(`\w+(\.\w+)*`)
	quotedKey  = regexp.MustCompile(`^[^,]*`)
)

// readRepository lists the files of the repository and parses its Go files.
func readRepository(t *testing.T) *repository {
	t.Helper()
	r := &repository{tests: map[string]bool{}, names: map[string]bool{}, members: map[string]map[string]bool{},
		embedded: map[string][]string{}, words: map[string]bool{}, keys: map[string]bool{}}
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || path == repositoryRoot {
			return err
		}
		relative := filepath.ToSlash(strings.TrimPrefix(path, repositoryRoot+string(filepath.Separator)))
		for _, skipped := range skippedDirectories {
			if relative == skipped {
				if entry.IsDir() {
					return filepath.SkipDir
				}
				return nil // .git is a file in a linked worktree
			}
		}
		r.paths = append(r.paths, relative)
		isThisPackage := strings.HasPrefix(relative, "internal/layers/") // its tests have wrong names in strings
		if !strings.HasSuffix(path, ".go") || isThisPackage && relative != "internal/layers/layers_test.go" {
			return nil
		}
		return r.addFile(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// addFile adds the names and the strings of a Go file.
func (r *repository) addFile(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	packageName := strings.TrimSuffix(file.Name.Name, "_test")
	r.names[packageName] = true
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			r.addFunction(packageName, d, strings.HasSuffix(path, "_test.go"))
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				r.addSpec(packageName, spec)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.BasicLit:
			r.addString(x)
		case *ast.Field:
			r.addTag(x.Tag)
		}
		return true
	})
	return nil
}

// addFunction adds a function, or a method with its receiver's type.
func (r *repository) addFunction(packageName string, function *ast.FuncDecl, isTestFile bool) {
	name := function.Name.Name
	if function.Recv == nil {
		r.add(packageName, name)
		if isTestFile && testName.MatchString(name) {
			r.tests[name] = true
		}
		return
	}
	receiver := typeName(function.Recv.List[0].Type)
	r.addMember(packageName, receiver, name)
}

// addSpec adds the names that a type, constant or variable declaration declares.
func (r *repository) addSpec(packageName string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			r.add(packageName, name.Name)
		}
	case *ast.TypeSpec:
		r.add(packageName, s.Name.Name)
		ast.Inspect(s.Type, func(n ast.Node) bool {
			field, ok := n.(*ast.Field)
			if !ok {
				_, isFunction := n.(*ast.FuncType)
				return !isFunction // parameters and results are no members
			}
			for _, name := range field.Names {
				r.addMember(packageName, s.Name.Name, name.Name)
			}
			if len(field.Names) == 0 {
				embedded := typeName(field.Type)
				r.addMember(packageName, s.Name.Name, embedded)
				for _, scope := range []string{s.Name.Name, packageName + "." + s.Name.Name} {
					r.embedded[scope] = append(r.embedded[scope], embedded)
				}
			}
			return true
		})
	}
}

// addMember adds a field or method of a type.
func (r *repository) addMember(packageName, typeName, name string) {
	r.add(typeName, name)
	r.add(packageName+"."+typeName, name)
}

// add adds a name to a scope and to the declared names.
func (r *repository) add(scope, name string) {
	if r.members[scope] == nil {
		r.members[scope] = map[string]bool{}
	}
	r.members[scope][name] = true
	r.names[name] = true
}

// addString adds a string literal and the words in it.
func (r *repository) addString(literal *ast.BasicLit) {
	if literal.Kind != token.STRING {
		return
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return
	}
	r.words[text] = true
	for _, word := range stringWord.FindAllString(text, -1) {
		r.words[word] = true
		for _, part := range strings.Split(word, ".") {
			r.words[part] = true
		}
	}
}

// addTag adds the keys of a struct tag.
func (r *repository) addTag(tag *ast.BasicLit) {
	if tag == nil {
		return
	}
	text, err := strconv.Unquote(tag.Value)
	if err != nil {
		return
	}
	for _, format := range []string{"json", "toml"} {
		if value, ok := reflect.StructTag(text).Lookup(format); ok {
			r.keys[quotedKey.FindString(value)] = true
		}
	}
}

// typeName returns the name of a type, without its package, type parameters and pointer.
func typeName(expression ast.Expr) string {
	switch x := expression.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.StarExpr:
		return typeName(x.X)
	case *ast.SelectorExpr:
		return x.Sel.Name
	case *ast.IndexExpr:
		return typeName(x.X)
	case *ast.IndexListExpr:
		return typeName(x.X)
	}
	return ""
}
