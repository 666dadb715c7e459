package layers

import (
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	repositoryRoot     = "../.."
	oldMessagesHeading = "## Changed messages" // the section quotes messages that are no longer logged
	formerName         = "(was "               // marks the name after it as a former one
)

// checkedPages lists the pages that may only name what exists, as patterns relative to the root of the repository.
var checkedPages = []string{"README.md", "DEVELOPERS.md", "docs/ARCHITECTURE.md", "docs/ROADMAP.md", "docs/design/*.md", "docs/findings/*.md",
	"docs/incidents/*.md", "docs/operators/*.md"}

// unstoredPaths lists paths that pages name although a checkout may lack them.
var unstoredPaths = []string{
	"bin/",          // programs that make build writes
	"found/",        // results that fleettest writes
	"rollout/logs/", // logs of gateways that the rollout controller writes
	"KNOWN-RED.txt", // exists only while a failing test is listed
}

// externalNames lists names of programs that are not part of the repository.
var externalNames = []string{
	"trace_hash", // a key in the output of the platform's simulator, lbsim
	"throng",     // a kind of day of the platform's bench
}

var (
	fencedBlock   = regexp.MustCompile("(?ms)^```.*?^```")
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	testName      = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	dottedName    = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)+$`)
	plainName     = regexp.MustCompile(`^[A-Za-z]\w*$`)
	hexNumber     = regexp.MustCompile(`^[0-9a-f]{7,}$`)
	fileName      = regexp.MustCompile(`^[\w*.-]+\.(go|toml|md|txt|json|mod|conf|golden|svg|proto)$`)
	directoryName = regexp.MustCompile(`^[\w*.-]+(/[\w*.-]+)*/([\w*.-]+)?$`)
)

// reference is a name on a page that has to exist.
type reference struct {
	kind referenceKind
	name string
}

type referenceKind string

const (
	pathReference    referenceKind = "path"
	testReference    referenceKind = "test"
	testPattern      referenceKind = "test pattern" // an argument of -run or -bench
	messageReference referenceKind = "message"      // a log message
	nameReference    referenceKind = "name"         // a Go name, or a word that the source has in a string
)

// references returns the names on a page that have to exist: the names of tests anywhere in the text, and in code spans the paths, the
// dotted names and the spans that are a single word.
func references(text string) []reference {
	text = fencedBlock.ReplaceAllString(withoutOldMessages(text), "")
	var found []reference
	for _, match := range testName.FindAllStringIndex(text, -1) {
		if !strings.HasSuffix(strings.TrimSuffix(text[:match[0]], "`"), formerName) {
			found = append(found, reference{testReference, text[match[0]:match[1]]})
		}
	}
	for _, match := range codeSpan.FindAllStringSubmatchIndex(text, -1) {
		if !strings.HasSuffix(text[:match[0]], formerName) {
			found = append(found, spanReferences(text[match[2]:match[3]])...)
		}
	}
	return append(found, messageReferences(text)...)
}

// messageReferences returns the log messages in the first column of the tables whose header is msg.
func messageReferences(text string) []reference {
	var found []reference
	inTable := false
	for _, line := range strings.Split(text, "\n") {
		inTable = strings.HasPrefix(line, "| msg |") || inTable && strings.HasPrefix(line, "|")
		if !inTable {
			continue
		}
		firstCell := strings.SplitN(line, "|", 3)[1]
		for _, match := range codeSpan.FindAllStringSubmatch(firstCell, -1) {
			if !strings.Contains(match[1], "=") { // an attribute and its value
				found = append(found, reference{messageReference, match[1]})
			}
		}
	}
	return found
}

// withoutOldMessages returns a page without the section of changed messages.
func withoutOldMessages(text string) string {
	before, section, found := strings.Cut(text, "\n"+oldMessagesHeading+"\n")
	if !found {
		return text
	}
	if next := strings.Index(section, "\n## "); next >= 0 {
		return before + section[next:]
	}
	return before
}

// spanReferences returns the references in a code span.
func spanReferences(span string) []reference {
	words := strings.Fields(span)
	var found []reference
	for i, word := range words {
		if i > 0 && (words[i-1] == "-run" || words[i-1] == "-bench") {
			found = append(found, reference{testPattern, strings.Trim(word, "'\"")})
			continue
		}
		word = strings.TrimRight(strings.Trim(word, `"'(),;:`), ".")
		word = strings.TrimSuffix(word, "()")
		trimmed := strings.TrimSuffix(strings.TrimPrefix(word, "./"), "/...")
		switch {
		case testName.MatchString(word): // found in the whole text
		case fileName.MatchString(trimmed) || directoryName.MatchString(trimmed):
			found = append(found, reference{pathReference, trimmed})
		case dottedName.MatchString(word):
			found = append(found, reference{nameReference, word})
		case len(words) == 1 && plainName.MatchString(word) && !hexNumber.MatchString(word):
			found = append(found, reference{nameReference, word})
		}
	}
	return found
}

// exists reports whether a reference names something of the repository.
func (r *repository) exists(ref reference) bool {
	switch ref.kind {
	case pathReference:
		return r.hasPath(ref.name)
	case testReference:
		return r.tests[ref.name]
	case testPattern:
		return r.matchesTests(ref.name)
	case messageReference:
		return r.hasMessage(ref.name)
	default:
		return r.hasName(ref.name)
	}
}

// matchesTests reports whether each alternative of a pattern matches a test.
func (r *repository) matchesTests(pattern string) bool {
	for _, alternative := range strings.Split(pattern, "|") {
		expression, err := regexp.Compile(alternative)
		if err != nil || !slices.ContainsFunc(slices.Collect(maps.Keys(r.tests)), expression.MatchString) {
			return false
		}
	}
	return true
}

// hasMessage reports whether a message is a string literal, or two of which the second begins with a colon or a space.
func (r *repository) hasMessage(message string) bool {
	if r.words[message] {
		return true
	}
	for i, c := range message {
		if (c == ':' || c == ' ') && r.words[message[:i]] && r.words[message[i:]] {
			return true
		}
	}
	return false
}

// hasPath reports whether a path, or the end of one, names files or directories. A path with a Go name after it, as in
// internal/core.Core, is checked as both.
func (r *repository) hasPath(name string) bool {
	name = strings.TrimSuffix(name, "/")
	for _, unstored := range unstoredPaths {
		if strings.HasPrefix(name+"/", unstored) || name == unstored {
			return true
		}
	}
	if r.hasPathEnd(name) {
		return true
	}
	directory, last := path.Split(name)
	packageName, identifier, dotted := strings.Cut(last, ".")
	return dotted && r.hasPathEnd(directory+packageName) && r.hasName(packageName+"."+identifier)
}

// hasPathEnd reports whether a pattern matches the last elements of a path of the repository.
func (r *repository) hasPathEnd(pattern string) bool {
	elements := strings.Count(pattern, "/") + 1
	return slices.ContainsFunc(r.paths, func(candidate string) bool {
		parts := strings.Split(candidate, "/")
		if len(parts) < elements {
			return false
		}
		matched, err := path.Match(pattern, strings.Join(parts[len(parts)-elements:], "/"))
		return err == nil && matched
	})
}

// hasName reports whether the source declares a name, or has it in a string. A dotted name is a Go name (package.Name, Type.Member or both)
// or a key of a file.
func (r *repository) hasName(name string) bool {
	if r.names[name] || r.words[name] || slices.Contains(externalNames, name) {
		return true
	}
	scope, member, dotted := cutLast(name)
	if !dotted {
		return false
	}
	if r.members[scope] == nil {
		return r.keys[scope] && r.keys[member]
	}
	return r.hasMember(scope, member)
}

// hasMember reports whether a scope, or a type that it embeds, has a member.
func (r *repository) hasMember(scope, member string) bool {
	return r.members[scope][member] || slices.ContainsFunc(r.embedded[scope], func(embedded string) bool { return r.members[embedded][member] })
}

// cutLast cuts a dotted name before its last element.
func cutLast(name string) (scope, member string, found bool) {
	dot := strings.LastIndex(name, ".")
	if dot < 0 {
		return "", name, false
	}
	return name[:dot], name[dot+1:], true
}

// pagePaths returns the pages to check.
func pagePaths(t *testing.T) []string {
	t.Helper()
	var pages []string
	for _, pattern := range checkedPages {
		matches, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil || len(matches) == 0 {
			t.Fatalf("%s matches no page: %v", pattern, err)
		}
		pages = append(pages, matches...)
	}
	return pages
}

// TestPagesNameOnlyWhatExists checks that the paths, tests and identifiers that the pages name exist. It guards against pages that keep the
// former names of renamed code.
func TestPagesNameOnlyWhatExists(t *testing.T) {
	t.Parallel()
	r := readRepository(t)
	checked := 0
	for _, page := range pagePaths(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, ref := range references(string(text)) {
			checked++
			if !r.exists(ref) {
				t.Errorf("%s: %s %q does not exist", strings.TrimPrefix(page, repositoryRoot+"/"), ref.kind, ref.name)
			}
		}
	}
	const atLeast = 600 // fewer mean that references misses names
	if checked < atLeast {
		t.Errorf("checked only %d names", checked)
	}
}

// TestReferencesFindsNames checks which names of a page are references. It guards against a check that passes because it overlooks names.
func TestReferencesFindsNames(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		text string
		want []string
	}{
		"path":               {"see `internal/core/attempts.go` and `policy/`", []string{"path internal/core/attempts.go", "path policy"}},
		"path of a package":  {"`go vet ./internal/core/...`", []string{"path internal/core"}},
		"glob":               {"`internal/transport/frontend/*_races_test.go`", []string{"path internal/transport/frontend/*_races_test.go"}},
		"file":               {"in `main.go`.", []string{"path main.go"}},
		"path and Go name":   {"`internal/core.Core`", []string{"path internal/core.Core"}},
		"test in a span":     {"`TestFoo`", []string{"test TestFoo"}},
		"test in the text":   {"| TestFoo (bar), BenchmarkBar |", []string{"test TestFoo", "test BenchmarkBar"}},
		"former name":        {"`TestFoo` (was TestBar), `Foo` (was `Bar`)", []string{"test TestFoo", "name Foo"}},
		"test pattern":       {"`go test -run 'Foo|Bar' -bench .`", []string{"test pattern Foo|Bar", "test pattern ."}},
		"qualified names":    {"`core.Core` and `core.Core.MaySend()`", []string{"name core.Core", "name core.Core.MaySend"}},
		"single word":        {"`MaySend`, `evictIdle`, `GW_LISTEN`", []string{"name MaySend", "name evictIdle", "name GW_LISTEN"}},
		"message":            {"`engine list changed`", nil},
		"messages in table":  {"| msg | meaning |\n| --- | --- |\n| `foo bar`, `a=b` | `baz bar` |\n\n| `c d` |", []string{"message foo bar"}},
		"attribute, number":  {"`on=false`, `0`, `9.5`, `976f91779286d205`", nil},
		"fenced block":       {"```\n`Foo`\n```\n`Bar`", []string{"name Bar"}},
		"changed messages":   {"`Foo`\n## Changed messages\n`Bar`\n", []string{"name Foo"}},
		"after changed ones": {"\n## Changed messages\n`Bar`\n## Next\n`Foo`", []string{"name Foo"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got []string
			for _, ref := range references(c.text) {
				got = append(got, string(ref.kind)+" "+strings.TrimSuffix(ref.name, "/"))
			}
			slices.Sort(got)
			slices.Sort(c.want)
			if !slices.Equal(got, c.want) {
				t.Errorf("references(%q) = %q, want %q", c.text, got, c.want)
			}
		})
	}
}

// TestRepositoryLacksWrongNames checks that names which do not exist are reported. It guards against a check that accepts any name.
func TestRepositoryLacksWrongNames(t *testing.T) {
	t.Parallel()
	r := readRepository(t)
	existing := []reference{{pathReference, "internal/core"}, {pathReference, "core/attempts.go"}, {pathReference, "internal/core.Core.MaySend"},
		{pathReference, "bin/frostpier"}, {pathReference, "internal/*/attempts.go"}, {testReference, "TestImportsFollowLayers"},
		{testPattern, "ImportsFollow|Layers"}, {nameReference, "core.Core"}, {nameReference, "Core.MaySend"}, {nameReference, "core.Core.MaySend"},
		{nameReference, "PlatformListener.CloseIdle"}, {nameReference, "FROSTPIER_DEBUG"},
		{nameReference, "watch.least_s"}, {messageReference, "engine list changed"}}
	for _, ref := range existing {
		if !r.exists(ref) {
			t.Errorf("%s %q is missing", ref.kind, ref.name)
		}
	}
	wrong := []reference{{pathReference, "internal/cores"}, {pathReference, "core/attemps.go"}, {pathReference, "internal/core.Core.MaySendd"},
		{pathReference, "internal/*/attemps.go"}, {testReference, "TestImportsPointDownwards"}, {testPattern, "ImportsFollow|Downwards"},
		{nameReference, "core.Corre"}, {nameReference, "Core.MaySendd"}, {nameReference, "policy.Core.MaySend"}, {nameReference, "evictIdel"},
		{nameReference, "PlatformListener.CloseIdel"}, {nameReference, "FROSTPIER_DEBGU"},
		{nameReference, "watch.leest_s"}, {messageReference, "engine list changes"}}
	for _, ref := range wrong {
		if r.exists(ref) {
			t.Errorf("%s %q is accepted", ref.kind, ref.name)
		}
	}
}
