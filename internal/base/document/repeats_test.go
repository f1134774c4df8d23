package document_test

import (
	"strings"
	"testing"

	"baobabladder.example/baobabladder/internal/base/document"
)

const routeText = "[service]\nname = c\n[route /c/]\nwork = catalogue\n"

func TestParseRefusesWhatTheLibraryWouldTakeSilently(t *testing.T) {
	for cause, test := range map[string]struct{ text, allowed string }{
		"quoted key repeats":              {routeText + "\"work\" = order\n", "neither a section nor key"},
		"comment behind a header":         {routeText + "[route /c/] ; again\nwork = order\n", "no comment behind"},
		"two spaces in a header":          {routeText + "[route  /c/]\nwork = order\n", "single spaces"},
		"colon instead of equals":         {routeText + "open: yes\n", "neither a section nor key"},
		"keys of a dotted section's kin":  {routeText + "[workspace a]\nrate = 1\nburst = 1\n[workspace a.b]\nrate = 1\n", "burst"},
		"interpolation":                   {routeText + "[workspace a]\nrate = %(burst)s\nburst = 1\n", "%(burst)s"},
		"a name behind service":           {routeText + "[service x]\nname = d\n", "not allowed"},
		"a reserved route":                {routeText + "[route /-/x/]\nwork = catalogue\n", "outside /-/"},
		"a route with a dot part":         {routeText + "[route /c/../]\nwork = catalogue\n", "start with a dot"},
		"a line joined by a backslash":    {"[service]\nname = c\\\n[route /c/]\nwork = catalogue\n", "name"},
		"neither service nor fleet":       {"[other]\n", "neither"},
		"more text than is allowed":       {strings.Repeat("#", document.MaxBytes+1), "at most"},
		"a rate with too many decimals":   {routeText + "[workspace a]\nrate = 1.2345\nburst = 1\n", "three decimals"},
		"a fleet without any data centre": {"[fleet]\n[region a]\ndata_centres =\n", "data_centres"},
	} {
		t.Run(cause, func(t *testing.T) {
			_, err := document.Parse([]byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.allowed) {
				t.Fatalf("error is %v, want one that says %q", err, test.allowed)
			}
		})
	}
	if _, err := document.Parse([]byte(routeText + "[workspace a]\nrate = 1.5\nburst = 2\n[workspace a.b]\nrate = .5\nburst = 1 # a comment\n")); err != nil {
		t.Fatal(err)
	}
}
