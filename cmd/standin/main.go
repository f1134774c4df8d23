// Command standin runs small stand-ins of what the platform and the firms give:
// the object store and endpoints. It is for trials and tests only.
package main

import (
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/standin/endpoint"
	"baobabladder.example/baobabladder/internal/standin/store"
)

func main() {
	app := kingpin.New("standin", "Stand-ins of the platform and of endpoints.")
	storeCommand := app.Command("store", "Run a stand-in of the platform's store.")
	storeAddress := storeCommand.Flag("address", "IP:port to listen on.").Default("127.0.0.1:7000").String()
	endpointCommand := app.Command("endpoint", "Run a stand-in of an endpoint.")
	endpointAddress := endpointCommand.Flag("address", "IP:port to listen on.").Default("127.0.0.1:7100").String()
	name := endpointCommand.Flag("name", "The endpoint's name.").Default("endpoint-1").String()
	version := endpointCommand.Flag("version", "The version it runs.").Default("v1").String()
	slots := endpointCommand.Flag("slots", "Requests at once; 0 is without limit.").Default("3").Int()
	serviceTime := endpointCommand.Flag("service-time", "Time for each request.").Default("20ms").Duration()

	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case storeCommand.FullCommand():
		app.FatalIfError(http.ListenAndServe(*storeAddress, store.New().Handler()), "")
	case endpointCommand.FullCommand():
		handler := &endpoint.Endpoint{Name: *name, Version: *version, Slots: *slots, ServiceTime: clock.FromDuration(*serviceTime)}
		app.FatalIfError(http.ListenAndServe(*endpointAddress, handler), "")
	}
}
