// Package docs_test checks the links of the documentation pages.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var link = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

// TestLinks checks that each link is relative and that its target file exists.
func TestLinks(t *testing.T) {
	root := filepath.Join("..", "..")
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	design, err := filepath.Glob(filepath.Join(root, "docs", "design", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	pages = append(append(pages, design...), filepath.Join(root, "README.md"))
	links := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range link.FindAllStringSubmatch(string(text), -1) {
			target := found[1]
			if strings.Contains(target, "://") {
				t.Errorf("%s: link %s is external, want only relative links", page, target)
				continue
			}
			links++
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
				t.Errorf("%s: broken link %s", page, target)
			}
		}
	}
	if links == 0 {
		t.Error("found no links in the pages, want at least one")
	}
}
