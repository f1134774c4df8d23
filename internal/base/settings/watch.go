package settings

import (
	"context"
	"os"
	"time"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// pollInterval is the time between two checks of the settings file's
// modification time, which detect a change that no signal announced.
const pollInterval = 3 * clock.Second

// WatchNode reloads the settings at path after each signal and whenever the
// file's modification time has changed. It passes the settings or the error to
// reload, until ctx ends.
func WatchNode(ctx context.Context, path string, signals <-chan os.Signal, reload func(node Node, err error)) {
	last := modifiedAt(path)
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-ticker.C:
			if modifiedAt(path) == last {
				continue
			}
		}
		last = modifiedAt(path)
		reload(LoadNode(path))
	}
}

// modifiedAt returns the modification time of the file, or the zero time if it
// cannot be read.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
