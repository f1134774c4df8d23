// Command standin runs stand-ins of the platform's object store and of endpoints, sets
// their faults, and runs demos and measurements on them. It is for trials and tests
// only.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// command is one sub-command and the function that runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

func main() {
	app := kingpin.New("standin", "Stand-ins of the platform and of endpoints, for trials and tests.")
	commands := []command{storeCommand(app), endpointCommand(app), endpointsCommand(app), demoCommand(app), capacityCommand(app), measureCommand(app)}
	commands = append(commands, faultsCommands(app)...)
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for _, command := range commands {
		if command.clause.FullCommand() == chosen {
			app.FatalIfError(command.run(ctx), "")
		}
	}
}

// serve listens at address and serves handler until ctx is done.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
