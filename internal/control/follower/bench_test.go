package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	"baobabladder.example/baobabladder/internal/base/document"
	"baobabladder.example/baobabladder/internal/control/follower"
	"baobabladder.example/baobabladder/internal/control/freshness"
	"baobabladder.example/baobabladder/internal/control/heartbeat"
	"baobabladder.example/baobabladder/internal/wire/peer"
	"baobabladder.example/baobabladder/internal/wire/store"
	"baobabladder.example/baobabladder/internal/world/key"
	"baobabladder.example/baobabladder/internal/world/replica"
	"baobabladder.example/baobabladder/internal/world/vm"

	"github.com/sirupsen/logrus"
)

// testVM is a VM with a net/rpc server and client on loopback.
type testVM struct {
	heartbeat *heartbeat.Heartbeat
	follower  *follower.Follower
	server    *peer.Server
	client    *peer.Client
}

func newTestVM(tb testing.TB, name string) *testVM {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	v := &testVM{server: peer.NewServer(), client: &peer.Client{}}
	copied, fresh := &replica.Replica{}, &freshness.Freshness{}
	log := logrus.New()
	log.SetLevel(logrus.ErrorLevel)
	self := vm.VM{Name: name, Role: vm.RoleEntry, State: vm.StateLive, Region: "a", DataCentre: "a-1", PeerAddress: listener.Addr().String()}
	v.heartbeat = &heartbeat.Heartbeat{Self: self, ID: vm.ID{Name: name, Incarnation: 1}, Replica: copied, Freshness: fresh, Peers: v.client}
	v.follower = &follower.Follower{Replica: copied, Freshness: fresh, Heartbeat: v.heartbeat, Peers: v.client, Log: log}
	v.heartbeat.CatchUp = v.follower.CatchUp
	if err := v.server.Register(heartbeat.ReceiverName, heartbeat.NewReceiver(v.heartbeat)); err != nil {
		tb.Fatal(err)
	}
	if err := v.server.Register(follower.ReceiverName, follower.NewReceiver(v.follower)); err != nil {
		tb.Fatal(err)
	}
	go func() { _ = v.server.Serve(listener) }()
	tb.Cleanup(func() {
		v.client.Close()
		v.server.Close()
	})
	return v
}

// connect makes all VMs know each other.
func connect(vms []*testVM) {
	var list []vm.VM
	for _, v := range vms {
		list = append(list, v.heartbeat.Self)
	}
	for _, v := range vms {
		v.heartbeat.SetList(list, 1)
		v.heartbeat.Refresh()
	}
}

func BenchmarkIdleHeartbeat(b *testing.B) {
	vms := []*testVM{newTestVM(b, "a"), newTestVM(b, "b")}
	connect(vms)
	address := vms[1].heartbeat.Self.PeerAddress
	if err := vms[0].heartbeat.Ask(context.Background(), address); err != nil {
		b.Fatal(err)
	}
	before := vms[0].client.Bytes()
	for b.Loop() {
		if err := vms[0].heartbeat.Ask(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(vms[0].client.Bytes()-before)/float64(b.N), "wire-bytes/op")
}

func BenchmarkPushToPeers(b *testing.B) {
	for _, peers := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			vms := []*testVM{newTestVM(b, "a")}
			for i := range peers {
				vms = append(vms, newTestVM(b, fmt.Sprintf("b%03d", i)))
			}
			connect(vms)
			push := func(version int64) {
				value, _ := json.Marshal(key.Key{ID: "k", Digest: "d", Workspace: "w"})
				object := store.Object{Key: "keys/k", Version: version, Value: value}
				if _, rest := vms[0].follower.PushAll(context.Background(), []store.Object{object}); len(rest) > 0 {
					b.Fatalf("%d peers did not confirm", len(rest))
				}
			}
			push(1)
			before, version := vms[0].client.Bytes(), int64(1)
			for b.Loop() {
				version++
				push(version)
			}
			b.ReportMetric(float64(vms[0].client.Bytes()-before)/float64(b.N), "wire-bytes/op")
		})
	}
}

// contentOf returns a listing with the given numbers of keys and of documents of
// about 400 KiB each.
func contentOf(keys, documents int) (listing store.Listing) {
	add := func(objectKey string, value any) {
		text, _ := json.Marshal(value)
		listing.Revision++
		listing.Objects = append(listing.Objects, store.Object{Key: objectKey, Version: listing.Revision, Value: text})
	}
	for i := range keys {
		id := fmt.Sprintf("%016x", i)
		add("keys/"+id, key.Key{ID: id, Digest: key.DigestOf(id), Workspace: "glen-herbs", WriteID: strings.Repeat("0", 32)})
	}
	for i := range documents {
		text := &strings.Builder{}
		fmt.Fprintf(text, "[service]\nname = s%d\n[route /s%d/]\nwork = catalogue\n", i, i)
		for e := range 3500 {
			fmt.Fprintf(text, "[endpoint e%05d]\naddress = 10.%d.%d.%d:80\nregion = lothian\ndata_centre = lothian-1\nversion = v1\nslots = 3\n", e, i, e/250, e%250)
		}
		add(fmt.Sprintf("documents/s%d", i), document.Record{Name: fmt.Sprintf("s%d", i), Revision: 1, Text: text.String()})
	}
	return listing
}

func BenchmarkRestartFetchesAll(b *testing.B) {
	for _, size := range []struct{ keys, documents int }{{410, 3}, {4100, 3}, {41000, 3}, {410, 20}} {
		b.Run(fmt.Sprintf("keys=%d/documents=%d", size.keys, size.documents), func(b *testing.B) {
			source := newTestVM(b, "a")
			if _, err := source.follower.Replica.Merge(contentOf(size.keys, size.documents)); err != nil {
				b.Fatal(err)
			}
			before := source.server.Bytes()
			for b.Loop() {
				restarted := newTestVM(b, "b")
				if err := restarted.heartbeat.Ask(context.Background(), source.heartbeat.Self.PeerAddress); err != nil {
					b.Fatal(err)
				}
				if restarted.follower.Replica.Summary() != source.follower.Replica.Summary() {
					b.Fatal("the copies differ")
				}
			}
			b.ReportMetric(float64(source.server.Bytes()-before)/float64(b.N), "wire-bytes/op")
		})
	}
}

func BenchmarkMergeOneOfManyKeys(b *testing.B) {
	copied := &replica.Replica{}
	content := contentOf(41000, 3)
	if _, err := copied.Merge(content); err != nil {
		b.Fatal(err)
	}
	changed := content.Objects[0]
	changed.Version = content.Revision
	for b.Loop() {
		changed.Version++
		if _, err := copied.Merge(store.Listing{Objects: []store.Object{changed}, Revision: changed.Version}); err != nil {
			b.Fatal(err)
		}
	}
}
