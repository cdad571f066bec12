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
		t.Errorf("the counter is missing in the JSON %s", recorder.Body.String())
	}
}

func TestFamilyIsCollectedOnRead(t *testing.T) {
	family := NewFamily("test.version")
	upstreams := map[string]int64{"a": 3, "b": 4}
	unregister := RegisterCollector(func() {
		family.Begin()
		for name, version := range upstreams {
			family.Set(version, "upstream", name)
		}
		family.End()
	})
	defer unregister()
	read := func() string {
		recorder := httptest.NewRecorder()
		Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics?format=prometheus", nil))
		return recorder.Body.String()
	}
	if body := read(); !strings.Contains(body, `greengage_test_version{upstream="a"} 3`) || !strings.Contains(body, `upstream="b"`) {
		t.Errorf("gauges of the family are missing in:\n%s", body)
	}
	upstreams = map[string]int64{"a": 5}
	if body := read(); !strings.Contains(body, `greengage_test_version{upstream="a"} 5`) || strings.Contains(body, `upstream="b"`) {
		t.Errorf("want 5 for upstream a and no upstream b in:\n%s", body)
	}
	unregister()
	upstreams = map[string]int64{"a": 6}
	if body := read(); !strings.Contains(body, `greengage_test_version{upstream="a"} 5`) {
		t.Errorf("an unregistered function was called:\n%s", body)
	}
}
