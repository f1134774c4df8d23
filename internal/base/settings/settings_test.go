package settings_test

import (
	"strings"
	"testing"

	"baobabladder.example/baobabladder/internal/base/settings"
)

const validText = `[vm]
name = entry-1
region = lothian
data_centre = lothian-1
store = http://10.0.0.1:7000/
caller_address = 10.0.0.2:8000
peer_address = 10.0.0.2:8001
operator_address = 10.0.0.2:8002
`

func TestParse(t *testing.T) {
	read, err := settings.Parse([]byte(validText + "peers = 10.0.0.3:8001, 10.0.0.4:8001\nmemory_mb = 64\n"))
	if err != nil || len(read.Peers) != 2 || read.Memory != 64<<20 || read.LogLevel != "info" {
		t.Fatalf("read %+v, %v", read, err)
	}
	for name, test := range map[string]struct{ text, want string }{
		"duplicate key":            {validText + "region = clyde\n", "region stands twice"},
		"unknown key":              {validText + "colour = red\n", "colour is not allowed"},
		"another section":          {validText + "[x]\na = b\n", "[x] is not allowed"},
		"shared address":           {strings.Replace(validText, ":8002", ":8001", 1), "an address of its own"},
		"a host name":              {strings.Replace(validText, "10.0.0.2:8000", "host:8000", 1), "an IP number and a port"},
		"invalid peer":             {validText + "peers = 10.0.0.3\n", "peers"},
		"missing key":              {strings.Replace(validText, "region = lothian\n", "", 1), "key region"},
		"store is not an HTTP URL": {strings.Replace(validText, "http://", "ftp://", 1), "a URL such as"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := settings.Parse([]byte(test.text)); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("error is %v, want one containing %q", err, test.want)
			}
		})
	}
}
