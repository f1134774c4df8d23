package firm

import "baobabladder.example/baobabladder/internal/base/document"

// FindRoute returns the first route of the service with the given work that is public, or
// that is not, as isPublic demands; nil if there is none.
func FindRoute(service *document.Service, work document.Work, isPublic bool) *document.Route {
	for i := range service.Routes {
		if service.Routes[i].Work == work && service.Routes[i].Public == isPublic {
			return &service.Routes[i]
		}
	}
	return nil
}

// Route returns the first route that FindRoute finds in any service, and that service; nil
// if there is none. For catalogue look-ups it considers only services without routes for
// other work.
func (f *Firm) Route(work document.Work, isPublic bool) (*Service, *document.Route) {
	for _, service := range f.Services {
		if work == document.WorkCatalogue && !hasOnlyCatalogue(service.Service) {
			continue
		}
		if route := FindRoute(service.Service, work, isPublic); route != nil {
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

// StoreRegion returns the region in which the store runs.
func (f *Firm) StoreRegion() string { return storeLocations[f.Name].Region }
