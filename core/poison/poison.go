// Package poison identifies the parts of prompts that crash upstreams.
//
// A prompt consists of parts that requests share; the last part belongs to one request or session. Requests that look
// different may share a part that ends each upstream which begins to write an answer on it.
//
// Usage:
//
//	parts := []poison.Part{poison.NewPart("5c1e07a2"), poison.NewPart("91bd3f06")}
//	log.Info().Strs("parts", poison.Names(parts)).Msg("attemptFailed")
package poison
