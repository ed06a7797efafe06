package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

// wireFiles hold the platform's names, and the configurations and settings that use them. The code
// of this program uses names of its own.
//
//go:embed wire
var wireFiles embed.FS

var (
	names    = readNames()
	settings = template.Must(template.ParseFS(wireFiles, "wire/settings.toml.tmpl"))
)

func readNames() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal([]byte(wireFile("names.json")), &out); err != nil {
		panic(err)
	}
	return out
}

// name returns the platform's name for something.
func name(of string) string {
	n, ok := names[of]
	if !ok {
		panic("no name for " + of)
	}
	return n
}

func wireFile(file string) string {
	data, err := wireFiles.ReadFile("wire/" + file)
	if err != nil {
		panic(err)
	}
	return strings.TrimSpace(string(data)) + "\n"
}

// settingsData are the values of a machine's settings.
type settingsData struct {
	Name, IP, Zone, Prefix, Bounds string
	Zones                          []string
	CPUShare                       float64
	Bootstrap                      bool
}
