// Package docs_test checks that the pages' links lead somewhere.
package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var link = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)

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
				t.Errorf("%s: link to another place: %s", page, target)
				continue
			}
			links++
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
				t.Errorf("%s: broken link %s", page, target)
			}
		}
	}
	if links == 0 {
		t.Error("no links found")
	}
}
