package settings

import (
	"context"
	"os"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// lookInterval is how often the settings file is looked at for a change that no
// signal told of.
const lookInterval = 3 * clock.Second

// WatchNode reads the settings at path again after each signal, and whenever the
// file has changed, and passes them or the error on, until ctx ends.
func WatchNode(ctx context.Context, path string, signals <-chan os.Signal, reload func(node Node, err error)) {
	last := changedAt(path)
	ticker := time.NewTicker(lookInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if changedAt(path) == last {
				continue
			}
		}
		last = changedAt(path)
		reload(LoadNode(path))
	}
}

// changedAt returns when the file was written last, or the zero time.
func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
