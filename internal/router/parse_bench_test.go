package router

import (
	"encoding/json"
	"strings"
	"testing"
)

// BenchmarkParse measures the parsing of request bodies with a prompt of about
// 120 kB, the size that callers send.
func BenchmarkParse(b *testing.B) {
	prompt := strings.Repeat("harbour tariff rules \"quoted\"\n", 4000)
	completion, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": 64, "stream": true})
	chat, _ := json.Marshal(map[string]any{"model": "m", "messages": []map[string]string{{"role": "user", "content": prompt}}})
	for name, body := range map[string][]byte{"completion": completion, "chat": chat} {
		parse := parseCompletion
		if name == "chat" {
			parse = parseChat
		}
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := parse(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
