// Package examples holds a complete set of files for each example firm: the fleet
// document, one document for each service, and the settings of each entry VM. All
// addresses are on the loopback interface, so that a firm runs on one machine.
package examples

import (
	"embed"
	"io/fs"
	"path"

	"baobabladder.example/baobabladder/internal/base/fault"
)

// The names of the example firms.
const (
	MunroLennox = "munro-lennox"
	TresTintas  = "imprenta-tres-tintas"
)

//go:embed munro-lennox imprenta-tres-tintas
var files embed.FS

// Example holds the contents of a firm's files. Each list is sorted by file name.
type Example struct {
	Firm      string
	Documents []string
	Settings  []string
}

// Firms returns the names of the example firms.
func Firms() []string { return []string{TresTintas, MunroLennox} }

// Load returns the files of the firm with the given name.
func Load(firm string) (example Example, err error) {
	defer fault.Annotate(&err, "reading the example files of firm %s", firm)
	example.Firm = firm
	if example.Documents, err = readFiles(path.Join(firm, "documents")); err != nil {
		return Example{}, err
	}
	if example.Settings, err = readFiles(path.Join(firm, "vms")); err != nil {
		return Example{}, err
	}
	return example, nil
}

func readFiles(directory string) (contents []string, err error) {
	entries, err := fs.ReadDir(files, directory)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		content, err := fs.ReadFile(files, path.Join(directory, entry.Name()))
		if err != nil {
			return nil, err
		}
		contents = append(contents, string(content))
	}
	return contents, nil
}
