package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// tenantRequests is the number of requests that runTenant sends.
const tenantRequests = 20

// runTenant sends requests with the key of one tenant that name another tenant in the header
// Tenant. With trouble, the header Connection names the header Tenant too.
func runTenant(r *run) (isBroken bool, err error) {
	at := location{"leith", "lothian"}
	r.putConfig()
	endpoints := []*registered{}
	for i := range 2 {
		e, err := r.addEndpoint(fmt.Sprint("i-", i), "catalogue", at)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	g, err := r.newGateway("front-leith-1", at, r.storeAddress)
	if err != nil {
		return false, err
	}
	if err := r.start(g); err != nil {
		return false, err
	}
	if err := r.awaitReady(g); err != nil {
		return false, err
	}
	connection := "keep-alive"
	if r.hasTrouble {
		connection = "keep-alive, Tenant"
	}
	for i := range tenantRequests {
		if err := r.sendWithTenant(g, i, connection); err != nil {
			return false, err
		}
	}
	runs := 0
	for _, e := range endpoints {
		for _, each := range e.Runs() {
			runs++
			r.record("endpoint %s ran %s %s, id %s, Tenant %q", e.ID, each.Method, each.Path, each.ID, each.Workspace)
			isBroken = isBroken || each.Workspace != tenantA
		}
	}
	if runs == 0 {
		return false, fmt.Errorf("none of %d requests ran", tenantRequests)
	}
	return isBroken, nil
}

// sendWithTenant sends one request and records the answer.
func (r *run) sendWithTenant(g *gateway, number int, connection string) error {
	conn, err := net.Dial("tcp", g.callers)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	method, path, body := http.MethodGet, fmt.Sprintf("/read/%d", number), ""
	if number%2 == 1 {
		method, path, body = http.MethodPost, fmt.Sprintf("/order/%d", number), "an order"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: review%010d\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nTenant: %s\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, number, keyA, tenantB, connection, len(body), body)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	r.record("sent %s %s, id review%010d, key of %s, Tenant: %s, Connection: %s; answered %d", method, path, number, tenantA, tenantB, connection, response.StatusCode)
	return nil
}
