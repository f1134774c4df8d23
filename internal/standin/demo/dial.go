package demo

import (
	"context"
	"errors"
	"net"
)

// dialFunc is a hook that opens connections, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialError marks an error of dialling. No byte of a request was sent, so a retry is safe.
type dialError struct{ error }

// Unwrap returns the wrapped error.
func (d dialError) Unwrap() error { return d.error }

// withDialTimeout applies dialTimeout to dial and wraps its errors in dialError.
func withDialTimeout(dial dialFunc) dialFunc {
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
