package placement

import (
	"baobabladder.example/baobabladder/internal/base/clock"
	"baobabladder.example/baobabladder/internal/base/document"
)

const (
	// uploadLinkShare is the share of a link's bandwidth, in thousandths, that
	// uploads may use.
	uploadLinkShare = 600
	// firstChunk is the number of bytes that must be available on the link for a
	// paced body.
	firstChunk = 16 << 10
	// uploadBurstSeconds limits an upload burst to the uploads' share of the
	// bandwidth in this many seconds.
	uploadBurstSeconds = 1
)

// takeLinkBytes takes the request's bytes on the link to a remote region. It
// returns false if too few are available. The caller must hold mu.
func (p *Placer) takeLinkBytes(state *serviceState, region *region, request *Request, now clock.Millis) bool {
	bytes := request.Bytes
	if bytes < 0 {
		bytes = request.Route.MaxBody
	}
	if request.Route.Work == document.WorkUpload && !p.takeUploadBytes(state, region, request.Bytes, now) {
		return false
	}
	if request.Paced {
		bytes = min(bytes, firstChunk)
	}
	return p.Links == nil || p.Links.Take(region.link, bytes)
}

// takeUploadBytes takes bytes from this VM's part of the uploads' share of the
// link, and reports whether there were any. The parts of all VMs add up to
// uploadLinkShare, so the rest of the bandwidth always remains for orders. An
// upload of unknown size must stay in its region, so it gets none.
func (p *Placer) takeUploadBytes(state *serviceState, region *region, bytes int64, now clock.Millis) bool {
	if bytes < 0 || p.fleet == nil {
		return false
	}
	link := p.fleet.Link(p.Region, region.name)
	if link == nil {
		return false
	}
	bucket := state.uploadBuckets[region.name]
	if bucket == nil {
		bucket = &uploadBucket{updatedAt: now}
		state.uploadBuckets[region.name] = bucket
	}
	rate := int64(link.Mbit) * 125 * uploadLinkShare / 1000 / int64(max(p.entryVMs, 1))
	return bucket.take(bytes, rate, now)
}

// uploadBucket is a token bucket that a single upload may overdraw, so that an
// upload larger than the burst can pass.
type uploadBucket struct {
	// bytes is the number of bytes that may be sent; negative after an overdraft.
	bytes     int64
	updatedAt clock.Millis
}

// take takes bytes from a bucket that fills at rate bytes per millisecond. It
// returns false if the bucket is empty.
func (b *uploadBucket) take(bytes, rate int64, now clock.Millis) bool {
	b.bytes = min(b.bytes+rate*int64(now-b.updatedAt), rate*uploadBurstSeconds*int64(clock.Second))
	b.updatedAt = now
	if b.bytes <= 0 {
		return false
	}
	b.bytes -= bytes
	return true
}
