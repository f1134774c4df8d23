package baseline

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net"
	"net/http"

	wireCaller "baobabladder.example/baobabladder/internal/wire/caller"
)

// listLifetimeMs is how long callers may cache the list of entry VMs, in
// milliseconds.
const listLifetimeMs = 30_000

// serveEntryVMs returns the list of all entry VMs, those of the VM's own region
// first. The list is rotated by a hash of the caller's address, so that callers
// spread over the VMs.
func (v *VM) serveEntryVMs(w http.ResponseWriter, request *http.Request) {
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, host)
	var local, remote []wireCaller.EntryVM
	for i := range v.EntryVMs {
		entry := v.EntryVMs[(i+int(hash.Sum32()%uint32(len(v.EntryVMs))))%len(v.EntryVMs)]
		if entry.Region == v.Settings.Region {
			local = append(local, entry)
		} else {
			remote = append(remote, entry)
		}
	}
	_ = json.NewEncoder(w).Encode(wireCaller.EntryVMs{VMs: append(local, remote...), LifetimeMs: listLifetimeMs})
}
