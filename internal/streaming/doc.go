// Package streaming serves token streams: it asks an engine for an answer,
// delivers the tokens in order and exactly once, and goes on at another engine
// when the first is lost, leaves or falls silent.
//
// Assembler is the pure part: it decides what a frame means. Runner does one
// answer's input and output: it opens one attempt after another until the
// answer is whole or given up on. Registry keeps the streams in progress at
// this gateway, so that a caller can come back for the rest, and gives them to
// a peer when this gateway leaves.
package streaming
