package ctl

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// repository is the root of the repository, relative to this package.
const repository = "../.."

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	pathPattern    = regexp.MustCompile(`(?:^|[\s("` + "`" + `])((?:docs|coord|daemon|tools)/[\w./-]*)`)
	codePattern    = regexp.MustCompile("(?s)```.*?```|`[^`]+`")
	commandPattern = regexp.MustCompile(`(?m)(?:^|[\s/` + "`" + `])cactusctl\s+([a-z]+)`)
	quotePattern   = regexp.MustCompile("(?s)```go\n(.*?)```")
)

// pages returns README.md and the pages below docs, relative to the repository.
func pages(t *testing.T) []string {
	t.Helper()
	found := []string{"README.md"}
	for _, pattern := range []string{"docs/*.md", "docs/*/*.md"} {
		files, err := filepath.Glob(filepath.Join(repository, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			page, err := filepath.Rel(repository, file)
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, page)
		}
	}
	if len(found) < 2 {
		t.Fatal("no pages found")
	}
	return found
}

func readPage(t *testing.T, page string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(repository, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestPagesNameFiles guards against pages that link to or mention a file or
// directory that does not exist.
func TestPagesNameFiles(t *testing.T) {
	for _, page := range pages(t) {
		text := readPage(t, page)
		for _, match := range linkPattern.FindAllStringSubmatch(text, -1) {
			target, _, _ := strings.Cut(match[1], "#")
			if target != "" && !strings.Contains(target, "://") {
				checkExists(t, page, filepath.Join(filepath.Dir(page), target))
			}
		}
		for _, match := range pathPattern.FindAllStringSubmatch(text, -1) {
			checkExists(t, page, strings.TrimRight(match[1], "."))
		}
	}
}

func checkExists(t *testing.T, page, path string) {
	t.Helper()
	if _, err := os.Stat(filepath.Join(repository, path)); err != nil {
		t.Errorf("%s names %s: %v", page, path, err)
	}
}

// TestPagesNameCommands guards against pages that show a command of cactusctl
// that does not exist.
func TestPagesNameCommands(t *testing.T) {
	var names []string
	for _, command := range Commands() {
		names = append(names, command.Name)
	}
	for _, page := range []string{"README.md", "docs/operators.md"} {
		shown := 0
		for _, code := range codePattern.FindAllString(readPage(t, page), -1) {
			for _, match := range commandPattern.FindAllStringSubmatch(code, -1) {
				shown++
				if !slices.Contains(names, match[1]) {
					t.Errorf("%s shows cactusctl %s", page, match[1])
				}
			}
		}
		if shown == 0 {
			t.Errorf("%s shows no command", page)
		}
	}
}

// TestPagesQuoteExamples guards against examples in the pages that differ from the
// ones that are compiled and run as tests.
func TestPagesQuoteExamples(t *testing.T) {
	source := readPage(t, "coord/examples/example_test.go")
	quotes := quotePattern.FindAllStringSubmatch(readPage(t, "docs/embedding.md"), -1)
	if len(quotes) == 0 {
		t.Error("no examples quoted")
	}
	for _, quote := range quotes {
		if !strings.Contains(source, quote[1]) {
			t.Errorf("not in the examples:\n%s", quote[1])
		}
	}
}
