// Package command implements the command line of baobabladder: the commands that run
// an entry VM, and the operators' commands. Each command returns one of the exit codes,
// which tell scripts whether anything was changed.
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
	"baobabladder.example/baobabladder/internal/base/machine"
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
	// ExitRefused reports that a VM refused the command, or a local command failed or
	// found nothing. Nothing was changed.
	ExitRefused = 1
	// ExitInvalid reports that the arguments, the settings or the document are invalid.
	ExitInvalid = 2
	// ExitUnreachable reports that no VM could be reached, or that the VM could not reach
	// the store. Nothing was changed.
	ExitUnreachable = 3
	// ExitUnknown reports that the outcome is unknown: the change may have been made.
	ExitUnknown = 4
	// ExitUnconfirmed reports that the change was made, but not every VM confirmed in time
	// that it is in force there.
	ExitUnconfirmed = 5
)

const help = `Steers the HTTP requests of print customers to endpoints across regions.

Exit codes: 0 done; 1 refused, nothing changed; 2 wrong arguments, settings or
document; 3 no VM or no store reached, nothing changed; 4 outcome unknown, the
change may stand; 5 accepted, but not yet confirmed by every VM.`

const outputJSON = "json"

// logDrainTimeout limits the time to write the buffered log lines when the process ends.
const logDrainTimeout = 200 * clock.Millis(1)

// commands holds the parsed arguments and runs the commands.
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
	// name is a document's name, or the request id for explain.
	name      string
	revision  int64
	from, to  int64
	keyID     string
	workspace string
}

// terminated is a panic value with which the parser's exit code reaches Run.
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

// declare declares all commands and returns the function of each, by full command name.
func (c *commands) declare() map[string]func(ctx context.Context) int {
	runs := map[string]func(ctx context.Context) int{}
	c.app.Flag("operator", "URL of an entry VM's operator address. May be repeated; the next one is tried if one cannot be reached.").
		Envar("BAOBABLADDER_OPERATOR").Default("http://127.0.0.1:8002").StringsVar(&c.urls)
	c.app.Flag("output", "Output format: text or json.").Default("text").EnumVar(&c.output, "text", outputJSON)

	entry := c.app.Command("entry", "Run an entry VM until SIGTERM.")
	entry.Flag("settings", "The VM's settings file.").Required().StringVar(&c.settings)
	runs[entry.FullCommand()] = c.entry

	gateway := c.app.Command("gateway", "Run an entry VM of a deployment whose VMs and endpoints register themselves, until SIGTERM.")
	gateway.Flag("settings", "The VM's settings file.").Envar(platform.SettingsVariable).Required().StringVar(&c.settings)
	runs[gateway.FullCommand()] = c.gateway

	check := c.app.Command("check", "Check a document without contacting a VM.")
	c.fileArg(check)
	runs[check.FullCommand()] = c.check

	apply := c.app.Command("apply", "Store a document and put it in force on all VMs.")
	c.fileArg(apply)
	apply.Flag("based-on", "The revision on which the text is based; 0 for a new document.").Default("0").Int64Var(&c.basedOn)
	c.authorFlag(apply)
	runs[apply.FullCommand()] = c.apply

	show := c.app.Command("show", "Print a document's text.")
	c.nameArg(show)
	show.Flag("revision", "The revision to print; the newest by default.").Int64Var(&c.revision)
	runs[show.FullCommand()] = c.show

	compare := c.app.Command("compare", "Print the difference between two revisions of a document.")
	c.nameArg(compare)
	compare.Flag("from", "The older revision; by default the one before the newer.").Int64Var(&c.from)
	compare.Flag("to", "The newer revision; the newest by default.").Int64Var(&c.to)
	runs[compare.FullCommand()] = c.compare

	history := c.app.Command("history", "List a document's revisions.")
	c.nameArg(history)
	runs[history.FullCommand()] = c.history

	keys := c.app.Command("keys", "Issue, withdraw and list callers' keys.")
	issue := keys.Command("issue", "Issue a key; its text is shown once.")
	issue.Arg("workspace", "The workspace that the key is for.").Required().StringVar(&c.workspace)
	c.authorFlag(issue)
	runs[issue.FullCommand()] = c.issueKey
	withdraw := keys.Command("withdraw", "Withdraw a key on all VMs.")
	withdraw.Arg("id", "The key's id, as issue and list show it.").Required().StringVar(&c.keyID)
	c.authorFlag(withdraw)
	runs[withdraw.FullCommand()] = c.withdrawKey
	runs[keys.Command("list", "List the keys' ids and workspaces.").FullCommand()] = c.listKeys

	explain := c.app.Command("explain", "Print the log lines about one request from the logs of several VMs, sorted by time.")
	explain.Flag("request", "The request's id.").Required().StringVar(&c.name)
	explain.Arg("file", "Log files of VMs.").Required().ExistingFilesVar(&c.files)
	runs[explain.FullCommand()] = c.explain

	runs[c.app.Command("status", "Print a VM's status and its view of the other VMs.").FullCommand()] = c.status
	runs[c.app.Command("moves", "Print the state of the version moves.").FullCommand()] = c.moves
	runs[c.app.Command("account", "Print the decisions of the VMs, with time and reason.").FullCommand()] = c.account
	return runs
}

func (c *commands) fileArg(clause *kingpin.CmdClause) {
	clause.Arg("file", "The document's file.").Required().StringVar(&c.file)
}

func (c *commands) nameArg(clause *kingpin.CmdClause) {
	clause.Arg("name", "The document's name: a service, or fleet.").Required().StringVar(&c.name)
}

func (c *commands) authorFlag(clause *kingpin.CmdClause) {
	clause.Flag("author", "Author of the change, for the decision log.").Envar("USER").Default("unknown").StringVar(&c.author)
}

func (c *commands) client() *operator.Client { return operator.NewClient(c.urls) }

// entry runs an entry VM that is configured by documents, until SIGTERM.
func (c *commands) entry(ctx context.Context) int {
	config, err := settings.Load(c.settings)
	if err != nil {
		return c.fail(err)
	}
	log := logrus.New()
	log.SetOutput(c.stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		return c.fail(err)
	}
	log.SetLevel(level)
	machine.LimitHeap(machine.Memory(config.Memory))
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := (&process.Process{Settings: config, Log: log}).Run(ctx); err != nil {
		return c.fail(err)
	}
	return ExitOK
}

// gateway runs an entry VM of a deployment whose VMs and endpoints register themselves,
// until SIGTERM. It reloads the settings on SIGHUP and when the file changes.
func (c *commands) gateway(ctx context.Context) int {
	config, err := settings.LoadNode(c.settings)
	if err != nil {
		return c.fail(err)
	}
	level, err := logrus.ParseLevel(config.LogLevel)
	if err != nil {
		return c.fail(err)
	}
	machine.LimitHeap(machine.Memory(config.Memory))
	writer := logging.NewWriter(c.stdout)
	defer writer.Close(logDrainTimeout)
	log := logging.New(writer, level)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	run := &node.Node{Settings: config, Platform: platform.New(config.Store), Log: log, Writer: writer}
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	go settings.WatchNode(ctx, c.settings, sighups, func(newest settings.Node, err error) {
		if err != nil {
			log.WithError(err).Error("reading the changed settings failed; the previous ones stay in force")
			return
		}
		run.Reload(newest)
	})
	if err := run.Run(ctx); err != nil {
		return c.fail(err)
	}
	return ExitOK
}

// explain prints the log lines about one request. It returns ExitRefused if there are
// none.
func (c *commands) explain(context.Context) int {
	trace, err := explain.Read(c.name, c.files)
	if err != nil {
		return c.fail(err)
	}
	if err := trace.Print(c.stdout); err != nil {
		return c.fail(err)
	}
	if len(trace.Lines) == 0 {
		return ExitRefused
	}
	return ExitOK
}

// readDocument reads and parses the document's file.
func (c *commands) readDocument() (text string, parsed *document.Document, err error) {
	content, err := os.ReadFile(c.file)
	if err != nil {
		return "", nil, document.ErrInvalid.Wrap(err, "the file can't be read")
	}
	parsed, err = document.Parse(content)
	return string(content), parsed, err
}
