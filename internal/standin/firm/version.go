package firm

import (
	"context"
	"fmt"
	"net"
)

// StartNewVersion starts an endpoint of a new version in addition to each current
// endpoint of the service and returns the document with all of them. A new endpoint has
// the name of the old one, followed by "-" and the version.
func (f *Firm) StartNewVersion(ctx context.Context, owner *Service, version string) (text string, err error) {
	text = owner.Text
	for _, old := range owner.Endpoints {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		endpoint := old
		endpoint.Name = old.Name + "-" + version
		endpoint.Address = listener.Addr().String()
		endpoint.Version = version
		f.StartEndpoint(ctx, owner, &endpoint, listener)
		text += fmt.Sprintf("\n[endpoint %s]\naddress = %s\nregion = %s\ndata_centre = %s\nversion = %s\nslots = %d\n",
			endpoint.Name, endpoint.Address, endpoint.Region, endpoint.DataCentre, endpoint.Version, endpoint.Slots)
	}
	return text, nil
}
