// Package dispatch brings prompts and calls of plain services to agents. It tries
// the next agent while that can't do a thing twice, resumes broken streams at
// their offset, and says of each refusal whether the request ran.
package dispatch
