package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// statementBytes is the size of the long answers.
	statementBytes = 2 << 20
	// slowRate is how fast the clients read in the disruption, in bytes per second.
	slowRate = 40_000
	// livenessTime is a little more than liveness_ms of all sites.
	livenessTime = 5500 * time.Millisecond
	// slowClients is the number of clients.
	slowClients = 6
)

// chargesConfig is a configuration with one route for calls that must not run twice.
func chargesConfig(version int, timeout time.Duration) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "post-charge", "host": "dues.example", "path_prefix": "/charges/", "route_type": "non_idempotent", "service": "billing",
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 100, "priority": 2, "attempts": 1,
		}},
		"services": []map[string]any{{"name": "billing", "health_check": "/healthz", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "agents", "api_keys": []string{"key-of-agents-1"}, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}

// dialSmall connects like a client behind an ordinary network: with small segments and a small
// window.
func dialSmall(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			if failure == nil {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
			}
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return dialer.DialContext(context.Background(), "tcp", address)
}

// slowReader lets clients read the long answers to their charges steadily, but slowly.
func slowReader(s *stand, trouble bool) (bool, error) {
	statement := bytes.Repeat([]byte("0123456789abcdef"), statementBytes/16)
	startRunner(s, "i-billing-1", "billing", 6).answer = func(w http.ResponseWriter, r *http.Request) {
		body := []byte("charged")
		if strings.Contains(r.URL.Path, "statement") {
			body = statement
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		// The write fails if the gateway has left.
		_, _ = w.Write(body)
	}
	s.store.put("config", "main", chargesConfig(1, time.Minute))
	g := s.addGateway(map[string]string{"limits.memory_mb": "112", "parameters.drain_ms": "3000", "parameters.version_ms": "10000", "parameters.retry_slack": "102"})
	if err := g.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	// From liveness_ms after its start on the machine is in touch.
	time.Sleep(livenessTime)
	g.hangUp()
	s.record.add("the platform sends SIGHUP to %s", g.name)
	var cut atomic.Int32
	s.inParallel(slowClients, func(i int) {
		if !readStatement(s, g, strconv.Itoa(i), trouble) {
			cut.Add(1)
		}
	})
	s.record.add("the gateway closed the connection before the end of %d of %d answers", cut.Load(), slowClients)
	return cut.Load() > 0, nil
}

// readStatement sends two charges on one connection and reads the long answer to the second one. It
// reports whether that was complete.
func readStatement(s *stand, g *gateway, name string, slow bool) bool {
	connection, err := dialSmall(g.front)
	if err != nil {
		s.record.add("client %s can't connect: %v", name, err)
		return false
	}
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, 4<<10)
	for _, id := range []string{"charge-" + name, "statement-" + name} {
		fmt.Fprintf(connection, "POST /charges/%s HTTP/1.1\r\nHost: dues.example\r\nGreengagegate-Request-Id: %s\r\nGreengagegate-Deadline-Ms: 60000\r\n"+
			"Authorization: Bearer key-of-agents-1\r\nContent-Length: 6\r\n\r\ncharge", id, id)
		s.record.add("client %s sends %s", name, id)
		if !readAnswer(s, reader, id, slow) {
			return false
		}
	}
	return true
}

// readAnswer reads an answer, at slowRate if slow is true, and reports whether it is complete.
func readAnswer(s *stand, reader *bufio.Reader, id string, slow bool) bool {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		s.record.add("client gets no answer to %s: %v", id, err)
		return false
	}
	s.record.add("client gets the head of the answer to %s: %s, %d bytes follow", id, response.Status, response.ContentLength)
	began := time.Now()
	for total := 0; ; {
		n, err := io.CopyN(io.Discard, response.Body, 3000)
		total += int(n)
		if err != nil {
			complete := err == io.EOF && total == int(response.ContentLength)
			s.record.add("client has %d of %d bytes of the answer to %s after %.1f s, complete: %v, %v", total, response.ContentLength, id, time.Since(began).Seconds(), complete, err)
			return complete
		}
		if slow {
			time.Sleep(time.Until(began.Add(time.Duration(total) * time.Second / slowRate)))
		}
	}
}
