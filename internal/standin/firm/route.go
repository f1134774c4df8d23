package firm

import "baobabladder.example/baobabladder/internal/base/document"

// FindRoute returns a route of the service by its kind, or nil.
func FindRoute(service *document.Service, work document.Work, open bool) *document.Route {
	for i := range service.Routes {
		if service.Routes[i].Work == work && service.Routes[i].Public == open {
			return &service.Routes[i]
		}
	}
	return nil
}

// Route returns a route of the given kind with its service. Look-ups go to the
// service that has nothing else.
func (f *Firm) Route(work document.Work, open bool) (*Service, *document.Route) {
	for _, service := range f.Services {
		if work == document.WorkCatalogue && !hasOnlyCatalogue(service.Service) {
			continue
		}
		if route := FindRoute(service.Service, work, open); route != nil {
			return service, route
		}
	}
	return nil, nil
}

func hasOnlyCatalogue(service *document.Service) bool {
	for _, route := range service.Routes {
		if route.Work != document.WorkCatalogue {
			return false
		}
	}
	return true
}

// StoreRegion is the region that holds the store.
func (f *Firm) StoreRegion() string { return storePlaces[f.Name].Region }
