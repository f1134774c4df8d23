// Command baobabladder is the system's one product binary: an entry VM's
// process and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"baobabladder.example/baobabladder/internal/base/settings"
	"baobabladder.example/baobabladder/internal/entry/process"
)

func main() {
	app := kingpin.New("baobabladder", "Steers print customers' requests to endpoints across regions.")
	entry := app.Command("entry", "Run an entry VM.")
	file := entry.Flag("settings", "The VM's settings file.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	read, err := settings.Load(*file)
	app.FatalIfError(err, "")
	app.FatalIfError((&process.Process{Settings: read, Log: logrus.StandardLogger()}).Run(ctx), "")
}
