// Package streaming serves token streams: it requests an answer from an engine,
// delivers the tokens in order and exactly once, and continues at another
// engine when the first one is lost, leaves or stops sending.
//
// Assembler decides what a frame from an engine means for the answer; it does
// no input or output. Runner produces one answer: it opens one attempt after
// another until the answer is complete or the request is given up. Registry
// keeps the streams in progress at this gateway, so that a caller can come back
// for the rest, and hands them over to a peer when this gateway leaves.
package streaming
