package replica

import (
	"encoding/json"
	"strings"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
)

// parsedDocument is a document parsed from a store object.
type parsedDocument struct {
	document *document.Document
	revision int64
}

// load parses an object's value and updates the map for its kind. The caller
// must hold mu.
func (r *Replica) load(object store.Object) error {
	if service, found := strings.CutPrefix(object.Key, MovePrefix); found {
		r.outdated.moves = true
		setOrDelete(r.moves, service, json.RawMessage(object.Value), object.Deleted)
		return nil
	}
	if strings.HasPrefix(object.Key, key.ObjectPrefix) {
		r.outdated.keys = true
		k, err := parseKey(object)
		if err == nil {
			setOrDelete(r.keys, object.Key, k, object.Deleted)
		}
		return err
	}
	if strings.HasPrefix(object.Key, document.ObjectPrefix) {
		r.outdated.documents = true
		parsed, err := parseDocument(object)
		if err == nil {
			setOrDelete(r.documents, object.Key, parsed, object.Deleted)
		}
		return err
	}
	return nil
}

func setOrDelete[V any](values map[string]V, name string, value V, deleted bool) {
	if deleted {
		delete(values, name)
		return
	}
	values[name] = value
}

// parseKey parses an API key. A deleted object yields the zero Key.
func parseKey(object store.Object) (k key.Key, err error) {
	if object.Deleted {
		return key.Key{}, nil
	}
	err = json.Unmarshal(object.Value, &k)
	return k, err
}

// parseDocument parses and validates a document. A deleted object yields the
// zero value.
func parseDocument(object store.Object) (parsed parsedDocument, err error) {
	if object.Deleted {
		return parsedDocument{}, nil
	}
	var record document.Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return parsedDocument{}, err
	}
	parsed.revision = record.Revision
	parsed.document, err = document.Parse([]byte(record.Text))
	return parsed, err
}
