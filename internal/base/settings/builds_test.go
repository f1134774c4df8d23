package settings_test

import (
	"reflect"
	"testing"

	. "github.com/onsi/gomega"

	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/settings"
)

// The files in testdata hold every key that the earlier build knows. They are never changed,
// only added to: a VM starts with the file that the build before it was started with.
func TestSettingsOfEarlierBuildAreRead(t *testing.T) {
	g := NewWithT(t)
	entry, err := settings.Load("testdata/entry.ini")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entry).To(Equal(settings.Settings{
		Name: "ness", Region: "lothian", DataCentre: "lothian-1", Store: "http://127.0.0.1:9001/",
		CallerAddress: "127.0.0.1:9002", PeerAddress: "127.0.0.1:9003", OperatorAddress: "127.0.0.1:9004",
		Peers: []string{"127.0.0.1:9005", "127.0.0.1:9006"}, LogLevel: "warning", Memory: 64 << 20,
	}))
	node, err := settings.LoadNode("testdata/node.ini")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.Bounds).To(Equal(settings.Bounds{
		StopGrace: 1 * clock.Second, LookupLifetime: 2 * clock.Second, RetryRatio: 0.3, RetrySlack: 4, RetryWindow: 5 * clock.Second,
		TrialShare: 0.6, TrialSlack: 7, ColdOverage: 8, ColdSlack: 9,
	}))
	g.Expect(node.Usage).To(Equal(settings.Usage{
		Address: "127.0.0.1:9010", CallsPerSecond: 10, Window: 11 * clock.Second, Due: 12 * clock.Second, Tolerance: 0.13, LeaseTime: 14 * clock.Second,
	}))
	fields := reflect.ValueOf(node)
	for i := range fields.NumField() {
		g.Expect(fields.Field(i).IsZero()).To(BeFalse(), "%s was not read", fields.Type().Field(i).Name)
	}
}
