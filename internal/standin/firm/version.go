package firm

import (
	"context"
	"fmt"
	"net"
)

// StartNewVersion starts an endpoint of a new version beside each old one and
// returns the document with all of them. It names each after its old one.
func (f *Firm) StartNewVersion(ctx context.Context, owner *Service, version string) (text string, err error) {
	text = owner.Text
	for _, old := range owner.Endpoints {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		added := old
		added.Name = old.Name + "-" + version
		added.Address = listener.Addr().String()
		added.Version = version
		f.StartEndpoint(ctx, owner, &added, listener)
		text += fmt.Sprintf("\n[endpoint %s]\naddress = %s\nregion = %s\ndata_centre = %s\nversion = %s\nslots = %d\n",
			added.Name, added.Address, added.Region, added.DataCentre, added.Version, added.Slots)
	}
	return text, nil
}
