package httpclient_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/greengagegate/greengagegate/internal/httpclient"
	"github.com/greengagegate/greengagegate/internal/testhost"
)

// secondRequestLost sends two requests to a server that answers the first one and then closes the
// connection of each when it has read it. It returns how often the server has read the second.
func secondRequestLost(t *testing.T, client *http.Client, method, idempotencyKey string) int {
	server := testhost.ServeScript(t, func(_, _ int, r *http.Request) []byte {
		if r.URL.Path == "/first" {
			return testhost.JSONAnswer(http.StatusOK, `{}`)
		}
		return nil
	})
	for _, path := range []string{"/first", "/second"} {
		request, err := http.NewRequestWithContext(t.Context(), method, server.URL()+path, strings.NewReader("text"))
		if err != nil {
			t.Fatal(err)
		}
		if idempotencyKey != "" {
			request.Header.Set("Idempotency-Key", idempotencyKey)
		}
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if (err == nil) != (path == "/first") {
			t.Fatalf("%s: error %v", path, err)
		}
	}
	return server.Requests() - 1
}

// net/http sends a request again by itself when a kept connection is closed, if the request is a read
// or has an idempotency key. A request that may run must not be sent on a kept connection then.
func TestOnlyRequestsOnKeptConnectionsAreRepeated(t *testing.T) {
	for _, c := range []struct {
		name, method, key string
		client            *http.Client
		want              int
	}{
		{"kept, write", http.MethodPost, "", httpclient.NewGroups(1).Client("a"), 1},
		{"kept, read", http.MethodGet, "", httpclient.NewGroups(1).Client("a"), 2},
		{"kept, write with a key", http.MethodPost, "k", httpclient.NewGroups(1).Client("a"), 2},
		{"single use, write", http.MethodPost, "", httpclient.NewSingleUse(), 1},
		{"single use, read", http.MethodGet, "", httpclient.NewSingleUse(), 1},
		{"single use, write with a key", http.MethodPost, "k", httpclient.NewSingleUse(), 1},
	} {
		if got := secondRequestLost(t, c.client, c.method, c.key); got != c.want {
			t.Errorf("%s: the server has read the request %d times, want %d", c.name, got, c.want)
		}
	}
}

// A group's connection must not carry requests of another group.
func TestGroupsShareNoConnection(t *testing.T) {
	server := testhost.ServeScript(t, func(int, int, *http.Request) []byte { return testhost.JSONAnswer(http.StatusOK, `{}`) })
	groups := httpclient.NewGroups(2)
	for _, group := range []string{"a", "b", "a", "b"} {
		response, err := groups.Client(group).Get(server.URL())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if got := server.Connections(); got != 2 {
		t.Errorf("%d connections for two groups, want 2", got)
	}
}
