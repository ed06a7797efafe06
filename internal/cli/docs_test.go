package cli

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"
)

// TestDocsCommands guards against examples that the tool no longer accepts after
// a change of its flags. It runs each example in the operators' pages and in the
// help against an admin listener, and none may be a usage error. Commands that
// run until interrupted are left out.
func TestDocsCommands(t *testing.T) {
	r := newFixture(t)
	r.setRevisions(1000)
	var commands []string
	for _, page := range []string{"../../docs/OPERATIONS.md", "../../README.md"} {
		commands = append(commands, shellCommands(t, page)...)
	}
	r.Expect(len(commands)).To(BeNumerically(">", 5))
	commands = append(commands, helpExamples(newCommand(nil, nil, nil))...)
	dir := t.TempDir()
	for _, name := range []string{"acme.json", "new.json"} {
		r.Expect(os.WriteFile(filepath.Join(dir, name), []byte(contractJSON("1")), 0o600)).To(Succeed())
	}
	t.Chdir(dir)
	for _, line := range commands {
		args := words(line)
		if strings.Contains(line, "--watch") {
			continue
		}
		code, _, errOut := r.run("key", args[1:]...)
		r.Expect(code).NotTo(Equal(ExitUsage), "%s: %s", line, errOut)
	}
}

// TestAlarmsNameExistingMetrics guards against alarms on metrics that were renamed
// or removed. It compares the alarms with the table of the metrics, which
// test/metrics compares with what routers serve.
func TestAlarmsNameExistingMetrics(t *testing.T) {
	g := NewWithT(t)
	alarms, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	metrics, err := os.ReadFile("../../docs/METRICS.md")
	g.Expect(err).NotTo(HaveOccurred())
	names := regexp.MustCompile("`umberhill_[a-z_]+`").FindAllString(string(alarms), -1)
	g.Expect(names).NotTo(BeEmpty())
	for _, name := range names {
		g.Expect(string(metrics)).To(ContainSubstring("| " + name + " |"))
	}
}

// helpExamples returns the examples in the help of all commands.
func helpExamples(c *cli.Command) []string {
	var out []string
	for line := range strings.Lines(c.Description) {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "umberhill ") {
			out = append(out, line)
		}
	}
	for _, sub := range c.Commands {
		out = append(out, helpExamples(sub)...)
	}
	return out
}

// shellCommands returns the lines of a page's fenced sh blocks that call the tool.
func shellCommands(t *testing.T, page string) []string {
	f, err := os.Open(page)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var out []string
	inBlock := false
	for s := bufio.NewScanner(f); s.Scan(); {
		line := s.Text()
		switch {
		case strings.HasPrefix(line, "```"):
			inBlock = line == "```sh"
		case inBlock && strings.HasPrefix(line, "umberhill "):
			out = append(out, line)
		}
	}
	return out
}

// words splits a command line at spaces outside of double quotes, and drops a
// redirection or comment at its end.
func words(line string) []string {
	line, _, _ = strings.Cut(line, " <")
	line, _, _ = strings.Cut(line, " >")
	line, _, _ = strings.Cut(line, "#")
	var out []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			out = append(out, part)
			continue
		}
		out = append(out, strings.Fields(part)...)
	}
	return out
}
