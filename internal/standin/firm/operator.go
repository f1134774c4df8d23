package firm

import (
	"context"
	"encoding/json"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/wire/operator"
)

// changeAuthor is the author recorded with changes of documents and keys.
const changeAuthor = "standin"

// Key is an API key of a workspace.
type Key struct {
	ID        string
	Text      string
	Workspace string
}

// putDocument writes the first revision of a document directly to the store, because the
// entry VMs need it at their start.
func (f *Firm) putDocument(ctx context.Context, name, text string) error {
	record := document.Record{Name: name, Revision: 1, Text: text, Author: changeAuthor, WriteID: changeAuthor + "-" + name}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = f.client.Put(ctx, document.ObjectPrefix+name, value, 0)
	return err
}

// operatorClient returns a client for the operator addresses of the entry VMs that were
// not taken down.
func (f *Firm) operatorClient() *operator.Client {
	var urls []string
	for _, entry := range f.EntryVMs {
		if !entry.TakenDown {
			urls = append(urls, "http://"+entry.Settings.OperatorAddress+"/")
		}
	}
	return operator.NewClient(urls)
}

// Apply submits a new document of a service to the operator API and updates Services.
// With Config.ServeEntryVM there is no operator API, and only Services is updated.
func (f *Firm) Apply(ctx context.Context, owner *Service, text string) error {
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		return err
	}
	revision := owner.Revision + 1
	if f.ServeEntryVM == nil {
		applied, err := f.operatorClient().Apply(ctx, owner.Name, operator.ApplyRequest{Text: text, BasedOn: owner.Revision, Author: changeAuthor})
		if err != nil {
			return err
		}
		revision = applied.Revision
	}
	owner.Service, owner.Text, owner.Revision = parsed.Service, text, revision
	f.updateCurrentServices()
	return nil
}

// issueKeys issues an API key for each workspace. With Config.ServeEntryVM the name of a
// workspace serves as its key.
func (f *Firm) issueKeys(ctx context.Context) error {
	for _, workspace := range f.Services[0].Workspaces {
		if f.ServeEntryVM != nil {
			f.Keys = append(f.Keys, Key{workspace.Name, workspace.Name, workspace.Name})
			continue
		}
		issued, err := f.operatorClient().Issue(ctx, operator.IssueRequest{Workspace: workspace.Name, Author: changeAuthor})
		if err != nil {
			return err
		}
		f.Keys = append(f.Keys, Key{issued.ID, issued.Text, workspace.Name})
	}
	return nil
}

// WithdrawKey withdraws an API key by its id.
func (f *Firm) WithdrawKey(ctx context.Context, id string) error {
	_, err := f.operatorClient().Withdraw(ctx, id, changeAuthor)
	return err
}
