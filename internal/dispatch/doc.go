// Package dispatch sends prompts and calls of plain services to agents. It tries
// a further agent as long as that can't run a request twice, resumes broken
// streams at their offset, and reports with each refusal whether the request ran.
//
// Every request of a router passes through this package. Requests run
// concurrently and share only the retry budgets, the quarantine and hints at the
// owners of idempotency key shards, all of which are kept in memory.
package dispatch
