// Package tools exists so that its module pins the generators and linters.
package tools
