// Package command is the product's command line: the entry VM's process and the
// operators' commands.
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/base/logging"
	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/explain"
	"baobabladder.example/baobabladder/internal/entry/node"
	"baobabladder.example/baobabladder/internal/entry/process"
	"baobabladder.example/baobabladder/internal/wire/operator"
	"baobabladder.example/baobabladder/platform"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitRefused says that a VM refused the command; nothing was changed.
	ExitRefused = 1
	// ExitInvalid says that the arguments, the settings or the document are wrong.
	ExitInvalid = 2
	// ExitUnreachable says that no VM, or not the store, could be reached; nothing
	// was changed.
	ExitUnreachable = 3
	// ExitUnknown says that the outcome is unknown: the change may stand.
	ExitUnknown = 4
	// ExitUnconfirmed says that the change was accepted, but some VMs did not
	// confirm in time that it is in force there.
	ExitUnconfirmed = 5
)

const help = `Steers print customers' requests to endpoints across regions.

Exit codes: 0 done; 1 refused, nothing changed; 2 wrong arguments, settings or
document; 3 no VM or no store reached, nothing changed; 4 outcome unknown, the
change may stand; 5 accepted, but not yet confirmed by every VM.`

const outputJSON = "json"

// logEndWait is how long the last log lines may take at the end of a process.
const logEndWait = 200 * clock.Millis(1)

// commands holds the parsed arguments.
type commands struct {
	app    *kingpin.Application
	stdout io.Writer
	stderr io.Writer

	urls   []string
	output string
	author string

	settings string
	file     string
	files    []string
	basedOn  int64
	name     string
	revision int64
	from, to int64
	key      string
	space    string
}

// terminated carries an exit code out of the parser.
type terminated int

// Run runs one command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) (code int) {
	c := &commands{app: kingpin.New("baobabladder", help), stdout: stdout, stderr: stderr}
	defer func() {
		if end, ok := recover().(terminated); ok {
			code = int(end)
		}
	}()
	c.app.UsageWriter(stdout)
	c.app.ErrorWriter(stderr)
	c.app.Terminate(func(code int) { panic(terminated(code)) })
	runs := c.declare()
	chosen, err := c.app.Parse(args)
	if err != nil {
		c.app.Errorf("%s, try --help", err)
		return ExitInvalid
	}
	return runs[chosen](context.Background())
}

// declare declares all commands and returns what each runs.
func (c *commands) declare() map[string]func(ctx context.Context) int {
	runs := map[string]func(ctx context.Context) int{}
	c.app.Flag("operator", "URL of an entry VM's operator address; may be repeated, the next is tried if one can't be reached.").
		Envar("BAOBABLADDER_OPERATOR").Default("http://127.0.0.1:8002").StringsVar(&c.urls)
	c.app.Flag("output", "Form of the output: text or json.").Default("text").EnumVar(&c.output, "text", outputJSON)

	entry := c.app.Command("entry", "Run an entry VM until SIGTERM.")
	entry.Flag("settings", "The VM's settings file.").Required().StringVar(&c.settings)
	runs[entry.FullCommand()] = c.entry

	node := c.app.Command("gateway", "Run an entry VM of a deployment whose VMs and endpoints register themselves, until SIGTERM.")
	node.Flag("settings", "The VM's settings file.").Envar(platform.SettingsVariable).Required().StringVar(&c.settings)
	runs[node.FullCommand()] = c.gateway

	check := c.app.Command("check", "Check a document without any VM.")
	c.fileArg(check)
	runs[check.FullCommand()] = c.check

	apply := c.app.Command("apply", "Accept a document and put it in force on all VMs.")
	c.fileArg(apply)
	apply.Flag("based-on", "The revision that the text was edited from; 0 for a new document.").Default("0").Int64Var(&c.basedOn)
	c.authorFlag(apply)
	runs[apply.FullCommand()] = c.apply

	show := c.app.Command("show", "Print a document's text.")
	c.nameArg(show)
	show.Flag("revision", "A revision; the newest by default.").Int64Var(&c.revision)
	runs[show.FullCommand()] = c.show

	compare := c.app.Command("compare", "Print the difference between two revisions of a document.")
	c.nameArg(compare)
	compare.Flag("from", "The older revision; by default the one before.").Int64Var(&c.from)
	compare.Flag("to", "The newer revision; the newest by default.").Int64Var(&c.to)
	runs[compare.FullCommand()] = c.compare

	history := c.app.Command("history", "List a document's revisions.")
	c.nameArg(history)
	runs[history.FullCommand()] = c.history

	keys := c.app.Command("keys", "Issue, withdraw and list callers' keys.")
	issue := keys.Command("issue", "Issue a key; its text is shown once.")
	issue.Arg("workspace", "The workspace that the key is for.").Required().StringVar(&c.space)
	c.authorFlag(issue)
	runs[issue.FullCommand()] = c.issue
	withdraw := keys.Command("withdraw", "Withdraw a key on all VMs.")
	withdraw.Arg("id", "The key's id, as issue and list show it.").Required().StringVar(&c.key)
	c.authorFlag(withdraw)
	runs[withdraw.FullCommand()] = c.withdraw
	runs[keys.Command("list", "List the keys' ids and workspaces.").FullCommand()] = c.listKeys

	explained := c.app.Command("explain", "Print one request's way from VMs' logs.")
	explained.Flag("request", "The request's id.").Required().StringVar(&c.name)
	explained.Arg("file", "Files of log lines.").Required().ExistingFilesVar(&c.files)
	runs[explained.FullCommand()] = c.explain

	runs[c.app.Command("status", "Print what a VM knows of itself and the others.").FullCommand()] = c.status
	runs[c.app.Command("moves", "Print the state of the version moves.").FullCommand()] = c.moves
	runs[c.app.Command("account", "Print what the VMs decided, when and why.").FullCommand()] = c.account
	return runs
}

func (c *commands) fileArg(clause *kingpin.CmdClause) {
	clause.Arg("file", "The document's file.").Required().StringVar(&c.file)
}

func (c *commands) nameArg(clause *kingpin.CmdClause) {
	clause.Arg("name", "The document's name: a service, or fleet.").Required().StringVar(&c.name)
}

func (c *commands) authorFlag(clause *kingpin.CmdClause) {
	clause.Flag("author", "Who asks, for the account.").Envar("USER").Default("unknown").StringVar(&c.author)
}

func (c *commands) client() *operator.Client { return operator.NewClient(c.urls) }

// entry runs an entry VM.
func (c *commands) entry(ctx context.Context) int {
	read, err := settings.Load(c.settings)
	if err != nil {
		return c.fail(err)
	}
	log := logrus.New()
	log.SetOutput(c.stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(read.LogLevel)
	if err != nil {
		return c.fail(err)
	}
	log.SetLevel(level)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := (&process.Process{Settings: read, Log: log}).Run(ctx); err != nil {
		return c.fail(err)
	}
	return ExitOK
}

// gateway runs an entry VM on the users' platform.
func (c *commands) gateway(ctx context.Context) int {
	read, err := settings.LoadNode(c.settings)
	if err != nil {
		return c.fail(err)
	}
	level, err := logrus.ParseLevel(read.LogLevel)
	if err != nil {
		return c.fail(err)
	}
	writer := logging.NewWriter(c.stdout)
	defer writer.Close(logEndWait)
	log := logging.New(writer, level)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	run := &node.Node{Settings: read, Platform: platform.New(read.Store), Log: log, Writer: writer}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go settings.WatchNode(ctx, c.settings, hangups, func(newest settings.Node, err error) {
		if err != nil {
			log.WithError(err).Error("the changed settings are wrong, the old ones stay in force")
			return
		}
		run.Reload(newest)
	})
	if err := run.Run(ctx); err != nil {
		return c.fail(err)
	}
	return ExitOK
}

// explain prints one request's way.
func (c *commands) explain(context.Context) int {
	way, err := explain.Read(c.name, c.files)
	if err != nil {
		return c.fail(err)
	}
	if err := way.Print(c.stdout); err != nil {
		return c.fail(err)
	}
	if len(way.Lines) == 0 {
		return ExitRefused
	}
	return ExitOK
}

// readDocument reads and checks the file.
func (c *commands) readDocument() (text string, parsed *document.Document, err error) {
	content, err := os.ReadFile(c.file)
	if err != nil {
		return "", nil, document.ErrInvalid.Wrap(err, "the file can't be read")
	}
	parsed, err = document.Parse(content)
	return string(content), parsed, err
}
