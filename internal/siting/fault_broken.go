//go:build broken

package siting

const broken = true
