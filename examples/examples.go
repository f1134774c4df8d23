// Package examples holds a full set of files for each firm: the fleet document,
// one document for each service, and the settings of each entry VM. They run on
// one machine over loopback.
package examples

import (
	"embed"
	"io/fs"
	"path"

	"baobabladder.example/baobabladder/internal/base/fault"
)

// Names of the firms.
const (
	MunroLennox = "munro-lennox"
	TresTintas  = "imprenta-tres-tintas"
)

//go:embed munro-lennox imprenta-tres-tintas
var files embed.FS

// Example is a firm's files as texts, each list sorted by file name.
type Example struct {
	Firm      string
	Documents []string
	Settings  []string
}

// Firms lists the names of the firms that have files.
func Firms() []string { return []string{TresTintas, MunroLennox} }

// Load returns the files of a firm.
func Load(firm string) (example Example, err error) {
	defer fault.Annotate(&err, "reading the example of firm %s", firm)
	example.Firm = firm
	if example.Documents, err = texts(path.Join(firm, "documents")); err != nil {
		return Example{}, err
	}
	if example.Settings, err = texts(path.Join(firm, "vms")); err != nil {
		return Example{}, err
	}
	return example, nil
}

func texts(directory string) (texts []string, err error) {
	entries, err := fs.ReadDir(files, directory)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		text, err := fs.ReadFile(files, path.Join(directory, entry.Name()))
		if err != nil {
			return nil, err
		}
		texts = append(texts, string(text))
	}
	return texts, nil
}
