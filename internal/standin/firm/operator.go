package firm

import (
	"context"
	"encoding/json"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/wire/operator"
)

// author is the author of the changes.
const author = "standin"

// Key is a key that callers hold.
type Key struct {
	ID        string
	Text      string
	Workspace string
}

// write puts a first document straight into the store, for entry VMs to start on.
func (f *Firm) write(ctx context.Context, name, text string) error {
	record := document.Record{Name: name, Revision: 1, Text: text, Author: author, WriteID: author + "-" + name}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = f.client.Put(ctx, document.ObjectPrefix+name, value, 0)
	return err
}

// operator returns a client of the live entry VMs' operator addresses.
func (f *Firm) operator() *operator.Client {
	var urls []string
	for _, entry := range f.EntryVMs {
		if !entry.TakenDown {
			urls = append(urls, "http://"+entry.Settings.OperatorAddress+"/")
		}
	}
	return operator.NewClient(urls)
}

// Apply has a service's new document accepted. Where Serve runs in the place of
// the entry VMs, it is only put into Services.
func (f *Firm) Apply(ctx context.Context, owner *Service, text string) error {
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		return err
	}
	revision := owner.Revision + 1
	if f.ServeEntryVM == nil {
		applied, err := f.operator().Apply(ctx, owner.Name, operator.ApplyRequest{Text: text, BasedOn: owner.Revision, Author: author})
		if err != nil {
			return err
		}
		revision = applied.Revision
	}
	owner.Service, owner.Text, owner.Revision = parsed.Service, text, revision
	f.noteDocuments()
	return nil
}

// issueKeys issues a key for each workspace. Where Serve runs in the place of
// the entry VMs, a workspace's name is its key.
func (f *Firm) issueKeys(ctx context.Context) error {
	for _, workspace := range f.Services[0].Workspaces {
		if f.ServeEntryVM != nil {
			f.Keys = append(f.Keys, Key{workspace.Name, workspace.Name, workspace.Name})
			continue
		}
		issued, err := f.operator().Issue(ctx, operator.IssueRequest{Workspace: workspace.Name, Author: author})
		if err != nil {
			return err
		}
		f.Keys = append(f.Keys, Key{issued.ID, issued.Text, workspace.Name})
	}
	return nil
}

// WithdrawKey withdraws a key.
func (f *Firm) WithdrawKey(ctx context.Context, id string) error {
	_, err := f.operator().Withdraw(ctx, id, author)
	return err
}
