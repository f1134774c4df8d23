package command

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/joomcode/errorx"

	"baobabladder.example/baobabladder/internal/base/account"
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/fault"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/wire/operator"
)

// checkOutput is the JSON output of check.
type checkOutput struct {
	Name  string `json:"name"`
	Valid bool   `json:"valid"`
}

func (c *commands) check(context.Context) int {
	_, parsed, err := c.readDocument()
	if err != nil {
		return c.fail(err)
	}
	return c.print(checkOutput{Name: parsed.Name, Valid: true}, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "the document of %s is valid\n", parsed.Name)
	})
}

func (c *commands) apply(ctx context.Context) int {
	text, parsed, err := c.readDocument()
	if err != nil {
		return c.fail(err)
	}
	applied, err := c.client().Apply(ctx, parsed.Name, operator.ApplyRequest{Text: text, BasedOn: c.basedOn, Author: c.author})
	if err != nil {
		return c.fail(err)
	}
	code := c.print(applied, func(w *tabwriter.Writer) {
		outcome := "accepted"
		if applied.Unchanged {
			outcome = "unchanged"
		}
		fmt.Fprintf(w, "%s: revision %d %s\n", applied.Name, applied.Revision, outcome)
		writePropagation(w, applied.Propagation)
	})
	return propagationExitCode(code, applied.Propagation)
}

func (c *commands) show(ctx context.Context) int {
	shown, err := c.client().Show(ctx, c.name, c.revision)
	if err != nil {
		return c.fail(err)
	}
	if c.output == outputJSON {
		return c.print(shown, nil)
	}
	// Standard output gets only the document's text, so that it can be edited and applied
	// again.
	fmt.Fprintf(c.stderr, "revision %d, accepted %s, by %s\n", shown.Revision, formatTime(shown.AcceptedAt), shown.Author)
	fmt.Fprint(c.stdout, shown.Text)
	return ExitOK
}

func (c *commands) compare(ctx context.Context) int {
	comparison, err := c.client().Compare(ctx, c.name, c.from, c.to)
	if err != nil {
		return c.fail(err)
	}
	return c.print(comparison, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s: revision %d to %d\n", comparison.Name, comparison.From, comparison.To)
		for _, line := range comparison.Lines {
			fmt.Fprintln(w, strings.ReplaceAll(line, "\t", "    "))
		}
	})
}

func (c *commands) history(ctx context.Context) int {
	history, err := c.client().History(ctx, c.name)
	if err != nil {
		return c.fail(err)
	}
	return c.print(history, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "revision\taccepted\tauthor")
		for _, revision := range history.Revisions {
			fmt.Fprintf(w, "%d\t%s\t%s\n", revision.Revision, formatTime(revision.AcceptedAt), revision.Author)
		}
	})
}

func (c *commands) issueKey(ctx context.Context) int {
	issued, err := c.client().Issue(ctx, operator.IssueRequest{Workspace: c.workspace, Author: c.author})
	if err != nil {
		return c.fail(err)
	}
	code := c.print(issued, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "id:\t%s\nworkspace:\t%s\nkey:\t%s\n", issued.ID, issued.Workspace, issued.Text)
		writePropagation(w, issued.Propagation)
	})
	return propagationExitCode(code, issued.Propagation)
}

func (c *commands) withdrawKey(ctx context.Context) int {
	withdrawn, err := c.client().Withdraw(ctx, c.keyID, c.author)
	if err != nil {
		return c.fail(err)
	}
	code := c.print(withdrawn, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "key %s is withdrawn\n", withdrawn.ID)
		writePropagation(w, withdrawn.Propagation)
	})
	return propagationExitCode(code, withdrawn.Propagation)
}

func (c *commands) listKeys(ctx context.Context) int {
	list, err := c.client().Keys(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "id\tworkspace\tstate")
		for _, key := range list.Keys {
			state := "valid"
			if key.Withdrawn {
				state = "withdrawn"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", key.ID, key.Workspace, state)
		}
	})
}

func (c *commands) status(ctx context.Context) int {
	status, err := c.client().Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(status, func(w *tabwriter.Writer) { writeStatus(w, status) })
}

func writeStatus(w *tabwriter.Writer, status operator.Status) {
	fmt.Fprintf(w, "seen by %s: ready %t%s, keyed work %t, knowledge %d ms old at revision %d\n",
		status.VM, status.Ready, parenthesized(status.NotReady), status.Fresh, status.Age, status.Revision)
	fmt.Fprintln(w, "\nvm\tdata centre\tstate\treachable\tready\tstore\tage ms\trevision\tleases")
	for _, member := range status.Members {
		state := member.State
		if member.Stopping {
			state = "stopping"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\t%d\t%d\t%s\n", member.Name, member.DataCentre, state, member.Reachable,
			member.Ready, member.HasContact, member.Age, member.Revision, strings.Join(member.Leases, " "))
	}
	fmt.Fprintln(w, "\ndocument\trevision")
	for _, document := range status.Documents {
		fmt.Fprintf(w, "%s\t%d\n", document.Name, document.Revision)
	}
	if len(status.Shares) > 0 {
		fmt.Fprintln(w, "\nshare of\trate\tsize")
	}
	for _, share := range status.Shares {
		fmt.Fprintf(w, "%s\t%d\t%d\n", share.Resource, share.Share.Rate, share.Share.Size)
	}
}

func (c *commands) moves(ctx context.Context) int {
	moves, err := c.client().Moves(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(moves, func(w *tabwriter.Writer) {
		for _, service := range sortedKeys(moves.Moves) {
			fmt.Fprintf(w, "%s\t%s\n", service, moves.Moves[service])
		}
	})
}

func (c *commands) account(ctx context.Context) int {
	decisions, err := c.client().Account(ctx)
	if err != nil {
		return c.fail(err)
	}
	return c.print(decisions, func(w *tabwriter.Writer) {
		printLines(w, decisions.Lines)
		fmt.Fprintln(w, "what the store keeps of decisions, also of VMs that have ended:")
		printLines(w, decisions.Stored)
		for _, vm := range decisions.Missing {
			fmt.Fprintf(w, "%s gave no answer\n", vm)
		}
	})
}

func printLines(w *tabwriter.Writer, lines []account.Decision) {
	for _, line := range lines {
		fmt.Fprintf(w, "%s\t%s\tterm %d\t%s\t%s\t%s\n", formatTime(line.At), line.VM, line.Term, line.What, line.Subject, line.Why)
	}
}

// print writes a command's result as JSON, or with text as an aligned table.
func (c *commands) print(result any, text func(w *tabwriter.Writer)) int {
	if c.output == outputJSON {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(result)
		return ExitOK
	}
	w := tabwriter.NewWriter(c.stdout, 0, 4, 2, ' ', 0)
	text(w)
	_ = w.Flush()
	return ExitOK
}

// fail prints an error to standard error and returns its exit code. With JSON output, a
// VM's failure also goes to standard output.
func (c *commands) fail(err error) int {
	failure, failed := fault.As[*operator.Failure](err)
	if failed && c.output == outputJSON {
		_ = json.NewEncoder(c.stdout).Encode(failure)
	}
	fmt.Fprintln(c.stderr, "baobabladder:", err)
	switch {
	case failed:
		for _, line := range failure.Difference {
			fmt.Fprintln(c.stderr, line)
		}
		return failureExitCode(failure)
	case errorx.IsOfType(err, operator.ErrUnreachable):
		return ExitUnreachable
	case errorx.IsOfType(err, operator.ErrNoResponse):
		return ExitUnknown
	case errorx.IsOfType(err, document.ErrInvalid), errorx.IsOfType(err, settings.ErrInvalid):
		return ExitInvalid
	}
	return ExitRefused
}

func failureExitCode(failure *operator.Failure) int {
	switch failure.Code {
	case operator.Invalid:
		return ExitInvalid
	case operator.Unavailable:
		return ExitUnreachable
	case operator.OutcomeUnknown, operator.Internal:
		return ExitUnknown
	}
	return ExitRefused
}

func propagationExitCode(code int, propagation operator.Propagation) int {
	if len(propagation.Unconfirmed) > 0 {
		return ExitUnconfirmed
	}
	return code
}

func writePropagation(w *tabwriter.Writer, propagation operator.Propagation) {
	fmt.Fprintf(w, "in force at:\t%s\n", strings.Join(propagation.Confirmed, " "))
	if len(propagation.Unconfirmed) > 0 {
		fmt.Fprintf(w, "not confirmed by:\t%s\n", strings.Join(propagation.Unconfirmed, " "))
	}
}

func formatTime(at clock.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}

func parenthesized(text string) string {
	if text == "" {
		return ""
	}
	return " (" + text + ")"
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
