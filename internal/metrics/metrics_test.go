package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
)

func TestHandlerFormats(t *testing.T) {
	Counter("test.requests", "customer", "a").Inc(3)
	Histogram("test.wait_us", "customer", "a").Update(7)
	recorder := httptest.NewRecorder()
	Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics?format=prometheus", nil))
	body := recorder.Body.String()
	for _, want := range []string{
		`greengage_test_requests{customer="a"} 3`,
		`greengage_test_wait_us{customer="a",quantile="0.5"} 7`,
		`greengage_test_wait_us_count{customer="a"} 1`,
	} {
		if !strings.Contains(body, want) {
			t.Errorf("missing %q in:\n%s", want, body)
		}
	}
	recorder = httptest.NewRecorder()
	Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	if !strings.Contains(recorder.Body.String(), `"test.requests;customer=a"`) {
		t.Errorf("no JSON counter in %s", recorder.Body.String())
	}
}
