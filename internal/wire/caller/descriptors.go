package caller

import "baobabladder.example/baobabladder/internal/base/machine"

const (
	// maxDefaultConnections is the default of MaxConnections in a process with plenty of
	// descriptors.
	maxDefaultConnections = 4096
	// reservedDescriptors is the number of descriptors that are left for files, listeners,
	// peers and the store.
	reservedDescriptors = 200
)

// defaultConnections returns the default of MaxConnections in this process.
func defaultConnections() int {
	return connectionsWithin(machine.Descriptors(2*maxDefaultConnections + reservedDescriptors))
}

// connectionsWithin returns the default of MaxConnections in a process that may open the given
// number of descriptors. The request of each connection may need one more, to an endpoint.
func connectionsWithin(descriptors uint64) int {
	if descriptors >= 2*maxDefaultConnections+reservedDescriptors {
		return maxDefaultConnections
	}
	return max((int(descriptors)-reservedDescriptors)/2, 1)
}
