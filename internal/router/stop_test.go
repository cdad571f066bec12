package router

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/greengagegate/greengagegate/internal/dispatch"
	"github.com/greengagegate/greengagegate/internal/object"
	"github.com/rs/zerolog"
)

// An upload that is whole only after the router has stopped accepting work must not be forwarded.
func TestUploadThatEndsAfterStopIsNotForwarded(t *testing.T) {
	for path, body := range map[string]string{"/v1/completions": `{"model":"harbour","prompt":"x"}`, "/charges": "{}"} {
		picker := blockingPicker{pickStarted: make(chan struct{}, 1)}
		server := New(Options{
			Source: newFakeSource(newTestSet(object.KeyActive)), Admission: unlimitedAdmission{}, Limits: DefaultLimits(),
			Prompter: dispatch.NewPrompter(dispatch.PrompterOptions{}), Picker: picker, Log: zerolog.Nop(),
		})
		defer server.Close()
		listener := httptest.NewServer(server.Handler())
		defer listener.Close()
		reader, writer := io.Pipe()
		go func() {
			_, _ = writer.Write([]byte(body[:1]))
			server.Refuse()
			_, _ = writer.Write([]byte(body[1:]))
			_ = writer.Close()
		}()
		request, err := http.NewRequest(http.MethodPost, listener.URL+path, reader)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+testSecret)
		client := &http.Client{Timeout: 2 * time.Second}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		var reply decodedError
		if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable || reply.Error.Code != "stopping" || response.Header.Get(HeaderRun) != string(RunStateNotRun) {
			t.Errorf("%s: status %d, %+v, run state %q, want a refusal that was not run", path, response.StatusCode, reply.Error, response.Header.Get(HeaderRun))
		}
	}
}
