// Package blocklist recognizes requests that end the endpoints that run them, and that
// come again.
package blocklist
