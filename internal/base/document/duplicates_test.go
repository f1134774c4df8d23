package document_test

import (
	"strings"
	"testing"

	"baobabladder.example/baobabladder/internal/base/document"
)

const routeText = "[service]\nname = c\n[route /c/]\nwork = catalogue\n"

func TestParseRejectsInputThatTheINILibraryAccepts(t *testing.T) {
	for name, test := range map[string]struct{ text, allowed string }{
		"duplicate key in quotes":              {routeText + "\"work\" = order\n", "neither a section nor key"},
		"comment after a header":               {routeText + "[route /c/] ; again\nwork = order\n", "no comment behind"},
		"two spaces in a header":               {routeText + "[route  /c/]\nwork = order\n", "single spaces"},
		"colon instead of equals":              {routeText + "open: yes\n", "neither a section nor key"},
		"keys inherited through a dotted name": {routeText + "[workspace a]\nrate = 1\nburst = 1\n[workspace a.b]\nrate = 1\n", "burst"},
		"interpolation":                        {routeText + "[workspace a]\nrate = %(burst)s\nburst = 1\n", "%(burst)s"},
		"name after service":                   {routeText + "[service x]\nname = d\n", "not allowed"},
		"reserved route":                       {routeText + "[route /-/x/]\nwork = catalogue\n", "outside /-/"},
		"route with a dot segment":             {routeText + "[route /c/../]\nwork = catalogue\n", "start with a dot"},
		"line joined by a backslash":           {"[service]\nname = c\\\n[route /c/]\nwork = catalogue\n", "name"},
		"neither service nor fleet":            {"[other]\n", "neither"},
		"text above the size limit":            {strings.Repeat("#", document.MaxBytes+1), "at most"},
		"rate with too many decimals":          {routeText + "[workspace a]\nrate = 1.2345\nburst = 1\n", "three decimals"},
		"fleet without data centres":           {"[fleet]\n[region a]\ndata_centres =\n", "data_centres"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := document.Parse([]byte(test.text))
			if err == nil || !strings.Contains(err.Error(), test.allowed) {
				t.Fatalf("error is %v, want one containing %q", err, test.allowed)
			}
		})
	}
	if _, err := document.Parse([]byte(routeText + "[workspace a]\nrate = 1.5\nburst = 2\n[workspace a.b]\nrate = .5\nburst = 1 # a comment\n")); err != nil {
		t.Fatal(err)
	}
}
