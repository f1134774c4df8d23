package settings_test

import (
	"strings"
	"testing"

	"baobabladder.example/baobabladder/internal/base/settings"
)

const whole = `[vm]
name = entry-1
region = lothian
data_centre = lothian-1
store = http://10.0.0.1:7000/
caller_address = 10.0.0.2:8000
peer_address = 10.0.0.2:8001
operator_address = 10.0.0.2:8002
`

func TestParse(t *testing.T) {
	read, err := settings.Parse([]byte(whole + "peers = 10.0.0.3:8001, 10.0.0.4:8001\n"))
	if err != nil || len(read.Peers) != 2 || read.LogLevel != "info" {
		t.Fatalf("read %+v, %v", read, err)
	}
	for cause, test := range map[string]struct{ text, want string }{
		"a key twice":       {whole + "region = clyde\n", "region stands twice"},
		"an unknown key":    {whole + "colour = red\n", "colour is not allowed"},
		"another section":   {whole + "[x]\na = b\n", "[x] is not allowed"},
		"a shared address":  {strings.Replace(whole, ":8002", ":8001", 1), "an address of its own"},
		"a host name":       {strings.Replace(whole, "10.0.0.2:8000", "host:8000", 1), "an IP number and a port"},
		"a bad peer":        {whole + "peers = 10.0.0.3\n", "peers"},
		"a missing key":     {strings.Replace(whole, "region = lothian\n", "", 1), "key region"},
		"a store as no URL": {strings.Replace(whole, "http://", "ftp://", 1), "a URL such as"},
	} {
		t.Run(cause, func(t *testing.T) {
			if _, err := settings.Parse([]byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("error is %v, want one that says %q", err, test.want)
			}
		})
	}
}
