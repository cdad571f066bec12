package app

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/intake"
	"github.com/greengagegate/greengagegate/internal/testhost"
	"github.com/greengagegate/greengagegate/internal/tlsconf"
	"github.com/greengagegate/greengagegate/internal/tlsconf/tlstest"
	"github.com/rs/zerolog"
	"go.uber.org/fx/fxtest"
)

// TLS handshakes that never begin must give way to connections that send requests.
func TestUnfinishedHandshakesGiveWay(t *testing.T) {
	const bound, crowdSize = 4, 40
	certificates, err := tlsconf.NewReloader(tlstest.NewAuthority(t).Issue(t, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	door := httpDoor{name: "test", address: testhost.Free(t), certificates: certificates, limits: intake.Limits{Connections: bound, HeadBytes: smallHeadBytes}}
	lifecycle := fxtest.NewLifecycle(t)
	serveHTTP(lifecycle, newSmallServer(handler, 0), door, zerolog.Nop())
	lifecycle.RequireStart()
	defer lifecycle.RequireStop()
	for range crowdSize {
		conn, err := net.Dial("tcp", door.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	client := http.Client{Timeout: answerLimit, Transport: &http.Transport{TLSClientConfig: certificates.Client(door.address), DisableKeepAlives: true}}
	for start := time.Now(); ; time.Sleep(retryInterval) {
		response, err := client.Get("https://" + door.address + "/")
		if err == nil {
			_ = response.Body.Close()
			return
		}
		if time.Since(start) > answerLimit {
			t.Fatal(err)
		}
	}
}
