// Tokens that VMs lend one another; a promise.
namespace py allowances

struct LoanRequest {
  // VM and incarnation; with the number it names the loan.
  1: required string borrower,
  2: required i64 number,
  3: required string account,
  // The fewest tokens that help, and how many would be good.
  4: required i64 need,
  5: required i64 wish,
}

struct Loan {
  1: required i64 tokens,
  // How long they may be used, from before the request was sent.
  2: required i32 length_ms,
  // What the lender has left, for the choice of whom to ask next.
  3: required i64 left,
}

struct Closing {
  1: required i64 number,
  // How many of the loan's tokens came back so far, over all closings.
  2: required i64 returned,
}

service Allowances {
  Loan borrow(1: LoanRequest request),
  void close(1: string borrower, 2: list<Closing> closings),
}
