package router

import "testing"

// FuzzParse guards against a body that is accepted although the request lacks a
// model or a prompt or has a negative limit of tokens, and against panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":5}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","prompt":[1,2]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, parse := range []parser{parseCompletion, parseChat} {
			request, err := parse(body)
			if err != nil {
				continue
			}
			if request.Model == "" || len(request.Prompt) == 0 || request.MaxTokens < 0 {
				t.Fatalf("parser accepted the invalid request %+v", request)
			}
		}
	})
}
