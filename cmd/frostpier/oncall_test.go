package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	onCallPage         = "../../docs/operators/ONCALL.md"
	oldMessagesHeading = "## Changed messages" // the section below it quotes messages that are no longer logged
)

// productSources are the directories of the code whose log messages operators see.
var productSources = []string{"../../cmd/frostpier", "../../policy", "../../internal/core", "../../internal/invariant", "../../internal/program",
	"../../internal/settings", "../../internal/control", "../../internal/protocol", "../../internal/transport"}

var logMethods = []string{"Debug", "Info", "Warn", "Error", "Log"}

// logMessages returns the messages that the functions of a file log. For a concatenated message it returns the string literals in it.
func logMessages(file *ast.File) []string {
	var messages []string
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		ast.Inspect(function.Body, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				if argument := messageArgument(call); argument != nil {
					messages = append(messages, literals(function.Body, argument)...)
				}
			}
			return true
		})
	}
	return messages
}

// messageArgument returns the message argument of a call to a logger, or nil for any other call.
func messageArgument(call *ast.CallExpr) ast.Expr {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains(logMethods, method.Sel.Name) || !isLogger(method.X) {
		return nil
	}
	index := 0
	if method.Sel.Name == "Log" {
		index = 2 // the message follows the context and the level
	}
	if len(call.Args) <= index {
		return nil
	}
	return call.Args[index]
}

// isLogger reports whether the name of a variable or field suggests that it holds a logger.
func isLogger(expression ast.Expr) bool {
	name := ""
	switch x := expression.(type) {
	case *ast.Ident:
		name = x.Name
	case *ast.SelectorExpr:
		name = x.Sel.Name
	}
	return strings.HasSuffix(strings.ToLower(name), "log") || strings.HasSuffix(strings.ToLower(name), "logger")
}

// literals returns the string literals of an expression. For a variable it returns those assigned to it in the function body.
func literals(body *ast.BlockStmt, expression ast.Expr) []string {
	switch x := expression.(type) {
	case *ast.BasicLit:
		if text, err := strconv.Unquote(x.Value); err == nil {
			return []string{text}
		}
	case *ast.BinaryExpr:
		return append(literals(body, x.X), literals(body, x.Y)...)
	case *ast.Ident:
		return assigned(body, x.Name)
	}
	return nil
}

// assigned returns the string literals that are assigned to a variable in a function body.
func assigned(body *ast.BlockStmt, name string) []string {
	var found []string
	ast.Inspect(body, func(n ast.Node) bool {
		assignment, ok := n.(*ast.AssignStmt)
		if !ok || len(assignment.Lhs) != len(assignment.Rhs) {
			return true
		}
		for i, left := range assignment.Lhs {
			if ident, ok := left.(*ast.Ident); ok && ident.Name == name {
				found = append(found, literals(body, assignment.Rhs[i])...)
			}
		}
		return true
	})
	return found
}

// TestOnCallPageHasEveryLogMessage checks that the on-call page quotes each message that the program logs.
func TestOnCallPageHasEveryLogMessage(t *testing.T) {
	t.Parallel()
	page, err := os.ReadFile(onCallPage)
	if err != nil {
		t.Fatal(err)
	}
	current, _, _ := strings.Cut(string(page), oldMessagesHeading)
	var quoted []string
	for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(current, -1) {
		quoted = append(quoted, match[1])
	}
	found := 0
	for _, directory := range productSources {
		err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			for _, message := range logMessages(file) {
				found++
				listed := slices.ContainsFunc(quoted, func(text string) bool {
					return text == message || strings.HasPrefix(message, " ") && strings.HasSuffix(text, message)
				})
				if !listed {
					t.Errorf("%s logs %q, which is not on %s", path, message, onCallPage)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	const minMessages = 40 // fewer mean that logMessages misses calls
	if found < minMessages {
		t.Errorf("found only %d log messages, want at least %d", found, minMessages)
	}
}
