package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/store"
)

func storeCommand(app *kingpin.Application) command {
	clause := app.Command("store", "Run a stand-in of the platform's object store.")
	address := clause.Flag("address", "IP:port to listen on.").Default("127.0.0.1:7000").String()
	reads := clause.Flag("reads", "Maximum reads per second; 0 is unlimited.").Default("2000").Int()
	writes := clause.Flag("writes", "Maximum writes per second; 0 is unlimited.").Default("400").Int()
	vmLag := clause.Flag("vm-lag", "Delay until the list of VMs shows a change.").Default("0s").Duration()
	return command{clause, func(ctx context.Context) error {
		s := store.New()
		s.Budget = store.Budget{Reads: *reads, Writes: *writes}
		s.VMLag = clock.FromDuration(*vmLag)
		return serve(ctx, *address, s.Handler())
	}}
}
