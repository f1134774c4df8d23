package store

import (
	"context"
	"net/http"

	"baobabladder.example/baobabladder/internal/base/clock"
)

// contextFor returns a context that ends with the request or after wait.
func contextFor(request *http.Request, wait clock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(request.Context(), wait.Duration())
}
