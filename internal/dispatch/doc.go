// Package dispatch sends prompts and calls of plain services to agents. It tries
// a further agent as long as that can't run a request twice, resumes broken
// streams after the last delivered token, and reports with each refusal whether the request ran.
//
// Every request that a router receives passes through this package. Requests run
// concurrently and share only the retry budgets, the quarantine and the last known
// owners of idempotency key shards. No request reads a store for them.
package dispatch
