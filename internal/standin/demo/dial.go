package demo

import (
	"context"
	"errors"
	"net"
)

// dialFunc is a Dial hook.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialError marks an error before any byte of a request went out.
type dialError struct{ error }

// Unwrap returns the cause.
func (d dialError) Unwrap() error { return d.error }

// withTimeout bounds the set-up of connections and marks its errors.
func withTimeout(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
		defer cancel()
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, dialError{err}
		}
		return conn, nil
	}
}

func isDialError(err error) bool {
	var failed dialError
	return errors.As(err, &failed)
}
