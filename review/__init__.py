"""The cases of a review, and the stand-ins and helpers that their scripts share."""
