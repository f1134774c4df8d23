package demo

import (
	"context"
	"encoding/json"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/wire/operator"
)

// operatorName is the author of the demo's changes.
const operatorName = "demo"

// issuedKey is a key that callers hold.
type issuedKey struct {
	id   string
	text string
}

// write puts a first document straight into the store, for entry VMs to start on.
func (f *firm) write(ctx context.Context, name, text string) error {
	record := document.Record{Name: name, Revision: 1, Text: text, Author: operatorName, WriteID: operatorName + "-" + name}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = f.client.Put(ctx, document.ObjectPrefix+name, value, 0)
	return err
}

// operator returns a client of the live entry VMs' operator addresses.
func (f *firm) operator() *operator.Client {
	var urls []string
	for _, entry := range f.entries {
		if !entry.gone {
			urls = append(urls, "http://"+entry.settings.OperatorAddress+"/")
		}
	}
	return operator.NewClient(urls)
}

// apply has a service's new document accepted.
func (f *firm) apply(ctx context.Context, owner *service, text string) error {
	applied, err := f.operator().Apply(ctx, owner.Name, operator.ApplyRequest{Text: text, BasedOn: owner.revision, Author: operatorName})
	if err != nil {
		return err
	}
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		return err
	}
	owner.Service, owner.text, owner.revision = parsed.Service, text, applied.Revision
	return nil
}

// issueKeys issues a key for each workspace.
func (f *firm) issueKeys(ctx context.Context) error {
	for _, workspace := range f.services[0].Workspaces {
		issued, err := f.operator().Issue(ctx, operator.IssueRequest{Workspace: workspace.Name, Author: operatorName})
		if err != nil {
			return err
		}
		f.keys = append(f.keys, issuedKey{issued.ID, issued.Text})
	}
	return nil
}

// withdraw withdraws a key.
func (f *firm) withdraw(ctx context.Context, id string) error {
	_, err := f.operator().Withdraw(ctx, id, operatorName)
	return err
}
