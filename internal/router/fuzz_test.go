package router

import "testing"

// FuzzParse checks that whatever a caller sends is refused or gives a usable request.
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
				t.Fatalf("accepted %+v", request)
			}
		}
	})
}
