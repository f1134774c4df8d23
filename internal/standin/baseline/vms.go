package baseline

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net"
	"net/http"

	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
)

// lifetimeMs is how long callers may keep the answer.
const lifetimeMs = 30_000

// serveVMs names all entry VMs, those of the VM's own region first, in an order
// that spreads callers.
func (v *VM) serveVMs(w http.ResponseWriter, request *http.Request) {
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, host)
	var near, far []wireCaller.EntryVM
	for i := range v.EntryVMs {
		named := v.EntryVMs[(i+int(hash.Sum32()%uint32(len(v.EntryVMs))))%len(v.EntryVMs)]
		if named.Region == v.Settings.Region {
			near = append(near, named)
		} else {
			far = append(far, named)
		}
	}
	_ = json.NewEncoder(w).Encode(wireCaller.EntryVMs{VMs: append(near, far...), LifetimeMs: lifetimeMs})
}
